//! Network partition of a socket on the loopback interface.

use std::io::Result;
use std::os::fd::AsFd;

use socket2::{SockFilter, SockRef};

/// Code of the filter instruction that returns a constant.
const RETURN_CONSTANT: u16 = 0x06;

/// Drops all packets that arrive at a socket. Its kernel acknowledges nothing, so the peer's data
/// stays in the peer's send queue, as behind a cut link. A listening socket accepts no connections.
pub fn cut(socket: &impl AsFd) -> Result<()> {
    // The constant is the number of bytes of a packet to keep.
    let drop_all = SockFilter::new(RETURN_CONSTANT, 0, 0, 0);
    SockRef::from(socket).attach_filter(&[drop_all])
}

/// Ends the partition of a socket.
pub fn heal(socket: &impl AsFd) -> Result<()> {
    SockRef::from(socket).detach_filter()
}
