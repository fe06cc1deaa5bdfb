//! Detection of TCP connections whose peer no longer responds.

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
