//! Unused loopback addresses for the listeners of tests and demos.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports below the ephemeral range of the operating system. An outgoing connection could take an
/// ephemeral port between the check in [`free`] and the start of the listener.
const PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;

/// Offset of the next port to try.
static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns a loopback address without a listener or datagram socket; this process returns each
/// address only once. `None` if every loopback port from 10000 to 31999 is in use.
pub fn free() -> Option<SocketAddr> {
    let len = PORT_RANGE.end - PORT_RANGE.start;
    // Concurrent processes, whose ids are close, start at ports that are far apart.
    let start_offset = (std::process::id() * 997 % u32::from(len)) as u16;
    (0..len).find_map(|_| {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed) % len;
        let port = PORT_RANGE.start + (start_offset + offset) % len;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let unused = TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
        unused.then_some(address)
    })
}
