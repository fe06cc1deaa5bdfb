//! Options of TCP connections: detection of peers that no longer respond.

use std::io::Result;
use std::os::fd::AsFd;
use std::time::Duration;

use rustix::net::sockopt;

/// Idle time before the first probe; one second is the shortest that the kernel allows.
const IDLE_TIME: Duration = Duration::from_secs(1);
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unacknowledged probes after which the connection fails.
const MAX_PROBES: u32 = 2;
/// Longest time for which sent data may stay unacknowledged.
const USER_TIMEOUT_MS: u32 = 3000;

/// Enables keep-alive so that a connection fails about three seconds after its peer stops
/// responding.
pub fn enable_keep_alive(socket: &impl AsFd) -> Result<()> {
    sockopt::set_socket_keepalive(socket, true)?;
    sockopt::set_tcp_keepidle(socket, IDLE_TIME)?;
    sockopt::set_tcp_keepintvl(socket, PROBE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(socket, MAX_PROBES)?;
    sockopt::set_tcp_user_timeout(socket, USER_TIMEOUT_MS)?;
    Ok(())
}

/// Makes the next close of a connection discard what the peer has not acknowledged, and reset the
/// connection. After an orderly close, the kernel goes on sending it.
pub fn discard_on_close(socket: &impl AsFd) {
    if let Err(e) = sockopt::set_socket_linger(socket, Some(Duration::ZERO)) {
        log::warn!("event=discard_failed error=\"{e}\"");
    }
}
