//! Opening of TCP connections and their options: detection of peers that no longer respond, and
//! discarding of requests that have not arrived.

use std::io::Result;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsFd;
use std::time::Duration;

use async_io::Async;
use futures_lite::FutureExt;
use rustix::io::Errno;
use rustix::net::{AddressFamily, SocketFlags, SocketType, socket_with, sockopt};

use crate::executor::timeout;
use crate::timer::sleep;

/// Idle time before the first probe; one second is the shortest that the kernel allows.
const IDLE_TIME: Duration = Duration::from_secs(1);
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unacknowledged probes after which the connection fails.
const MAX_PROBES: u32 = 2;
/// Longest time for which sent data may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time for which a request may stay unacknowledged; the kernel counts from the first
/// retransmission, 0.2 to 0.3 s after the write. A server that stops must get nothing from 2.5 s on,
/// and its stop is known up to 1.5 s late.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after the write by which a request has been acknowledged or discarded. Before the second
/// keep-alive probe, so that the limit does not apply to it.
const DELIVERY_DECIDED: Duration = Duration::from_millis(1500);

/// Opens a connection; returns `None` if it is not open when `limit` has passed.
///
/// On a busy executor, the task may not learn within the limit that the connection is open. So the
/// kernel is asked before it is given up.
pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Option<Async<TcpStream>>> {
    let family = match address {
        SocketAddr::V4(_) => AddressFamily::INET,
        SocketAddr::V6(_) => AddressFamily::INET6,
    };
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = socket_with(family, SocketType::STREAM, flags, None)?;
    match rustix::net::connect(&socket, &address) {
        Ok(()) | Err(Errno::INPROGRESS) => {}
        Err(e) => return Err(e.into()),
    }
    let stream = Async::new_nonblocking(TcpStream::from(socket))?;
    let reported = timeout(limit, stream.writable()).await.transpose()?;
    if let Some(e) = stream.get_ref().take_error()? {
        return Err(e);
    }
    let open = reported.is_some() || stream.get_ref().peer_addr().is_ok();
    Ok(open.then_some(stream))
}

/// Enables keep-alive so that a connection fails about three seconds after its peer stops
/// responding.
pub fn enable_keep_alive(socket: &impl AsFd) -> Result<()> {
    sockopt::set_socket_keepalive(socket, true)?;
    sockopt::set_tcp_keepidle(socket, IDLE_TIME)?;
    sockopt::set_tcp_keepintvl(socket, PROBE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(socket, MAX_PROBES)?;
    set_user_timeout(socket, USER_TIMEOUT)
}

fn set_user_timeout(socket: &impl AsFd, limit: Duration) -> Result<()> {
    Ok(sockopt::set_tcp_user_timeout(
        socket,
        limit.as_millis() as u32,
    )?)
}

/// Runs an exchange that writes a request at its start. If the peer does not acknowledge the request
/// within about a second, the connection fails and the request is discarded.
///
/// The limit is lifted after that: it counts for keep-alive as well, and a single lost probe would
/// end a request that the peer is working on.
pub async fn limit_delivery_time<T>(socket: &impl AsFd, exchange: impl Future<Output = T>) -> T {
    let set = |limit| {
        if let Err(e) = set_user_timeout(socket, limit) {
            log::warn!("event=delivery_limit_failed error=\"{e}\"");
        }
    };
    set(DELIVERY_TIMEOUT);
    let lift = async {
        sleep(DELIVERY_DECIDED).await;
        set(USER_TIMEOUT);
        futures_lite::future::pending().await
    };
    exchange.or(lift).await
}

/// Makes the next close of a connection discard what the peer has not acknowledged, and reset the
/// connection. After an orderly close, the kernel goes on sending it.
pub fn discard_on_close(socket: &impl AsFd) {
    if let Err(e) = sockopt::set_socket_linger(socket, Some(Duration::ZERO)) {
        log::warn!("event=discard_failed error=\"{e}\"");
    }
}
