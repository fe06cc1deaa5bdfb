//! Free loopback addresses for a configuration.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

use config::Configuration;
use error_stack::Report;

use crate::error::{Error, Result};

/// Ports below the range from which the system takes ports of outgoing connections; a port of that
/// range could be taken between this check and the start of the listener.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Ports handed out by this process.
static HANDED_OUT: AtomicU16 = AtomicU16::new(0);

/// Replaces all addresses by free ones on loopback.
pub fn assign(configuration: &mut Configuration) -> Result<()> {
    let inventory = &mut configuration.inventory;
    for vm in &mut inventory.entry_vms {
        vm.caller_address = free()?;
        vm.peer_address = free()?;
        vm.operator_address = free()?;
    }
    for server in &mut inventory.servers {
        server.address = free()?;
    }
    Ok(())
}

/// Returns an address that nobody listens on and that this process hands out once.
pub fn free() -> Result<SocketAddr> {
    let len = PORTS.end - PORTS.start;
    // Processes that run at the same time begin at different ports.
    let first = (std::process::id() * 97 % u32::from(len)) as u16;
    for _ in 0..len {
        let offset = HANDED_OUT.fetch_add(1, Ordering::Relaxed) % len;
        let port = PORTS.start + (first + offset) % len;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(Report::new(Error::Listen).attach("no free port"))
}
