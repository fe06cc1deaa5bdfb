//! Assigns unused loopback addresses to the machines of a configuration.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

use config::Configuration;
use error_stack::Report;

use crate::error::{Error, Result};

/// Ports below the ephemeral range of the operating system. An outgoing connection could take an
/// ephemeral port between the check in [`free`] and the start of the listener.
const PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;

/// Offset of the next port to try.
static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Replaces all addresses in the inventory by unused ones on loopback.
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

/// Returns a loopback address without a listener; this process returns each address only once.
pub fn free() -> Result<SocketAddr> {
    let len = PORT_RANGE.end - PORT_RANGE.start;
    // Concurrent processes start at different ports.
    let start_offset = (std::process::id() * 97 % u32::from(len)) as u16;
    for _ in 0..len {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed) % len;
        let port = PORT_RANGE.start + (start_offset + offset) % len;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(Report::new(Error::Listen).attach("every loopback port from 10000 to 31999 is in use"))
}
