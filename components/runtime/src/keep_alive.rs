//! Detection of TCP connections whose other side has gone silent.

use std::io::Result;
use std::os::fd::AsFd;
use std::time::Duration;

use rustix::net::sockopt;

/// Idle time after which a connection is probed; the shortest that the system allows.
const IDLE_TIME: Duration = Duration::from_secs(1);
/// Time between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the connection fails.
const MAX_PROBES: u32 = 2;
/// Time in milliseconds for which sent bytes may stay unacknowledged.
const USER_TIMEOUT_MS: u32 = 3000;

/// Makes a connection fail within about three seconds after its other side has gone silent.
pub fn enable_keep_alive(socket: &impl AsFd) -> Result<()> {
    sockopt::set_socket_keepalive(socket, true)?;
    sockopt::set_tcp_keepidle(socket, IDLE_TIME)?;
    sockopt::set_tcp_keepintvl(socket, PROBE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(socket, MAX_PROBES)?;
    sockopt::set_tcp_user_timeout(socket, USER_TIMEOUT_MS)?;
    Ok(())
}
