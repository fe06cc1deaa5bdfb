//! Unused loopback addresses for the listeners of tests and demos.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::linux::net::SocketAddrExt;
use std::os::unix::net::{SocketAddr as UnixAddr, UnixListener};
use std::sync::{LazyLock, Mutex, PoisonError};

/// Ports below the ephemeral range of the operating system. An outgoing connection could take an
/// ephemeral port between the check in [`Ports::take`] and the start of the listener.
const PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;
const PORT_COUNT: u16 = PORT_RANGE.end - PORT_RANGE.start;
/// Ports that are claimed together, so that a process needs few sockets for its claims.
const BLOCK_LEN: u16 = 50;

/// Number of a block of ports.
type Block = u16;

/// Loopback ports, and the blocks of them that no other process uses meanwhile.
#[derive(Debug)]
pub struct Ports {
    /// Next port to try, counted from the start of the range.
    next_offset: u16,
    /// Claimed blocks. A name in the abstract namespace can be bound once, and is free again when the
    /// process ends.
    claims: HashMap<Block, UnixListener>,
}

impl Ports {
    /// Creates a set without claims that tries the ports from `offset` on.
    pub fn starting_at(offset: u16) -> Self {
        Ports {
            next_offset: offset % PORT_COUNT,
            claims: HashMap::new(),
        }
    }

    /// Returns a loopback address of a claimed block without a listener or datagram socket. All others
    /// are tried before an address is returned again. `None` if no port is left.
    pub fn take(&mut self) -> Option<SocketAddr> {
        (0..PORT_COUNT).find_map(|_| {
            let port = PORT_RANGE.start + self.next_offset;
            self.next_offset = (self.next_offset + 1) % PORT_COUNT;
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            let unused = self.claim(port / BLOCK_LEN)
                && TcpListener::bind(address).is_ok()
                && UdpSocket::bind(address).is_ok();
            unused.then_some(address)
        })
    }

    /// Returns whether the block is claimed now.
    fn claim(&mut self, block: Block) -> bool {
        if self.claims.contains_key(&block) {
            return true;
        }
        let name = format!("rosemaryglade-ports-{block}");
        let bound = UnixAddr::from_abstract_name(name).and_then(|a| UnixListener::bind_addr(&a));
        bound.is_ok_and(|socket| self.claims.insert(block, socket).is_none())
    }
}

/// Returns a loopback address without a listener or datagram socket; this process returns each
/// address only once, and no other process returns it meanwhile. `None` if every loopback port from
/// 10000 to 31999 is in use.
pub fn free() -> Option<SocketAddr> {
    static PORTS: LazyLock<Mutex<Ports>> = LazyLock::new(|| {
        // Concurrent processes, whose ids are close, start at ports that are far apart.
        let offset = std::process::id() * 997 % u32::from(PORT_COUNT);
        Mutex::new(Ports::starting_at(offset as u16))
    });
    PORTS.lock().unwrap_or_else(PoisonError::into_inner).take()
}
