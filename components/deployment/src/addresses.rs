//! Assigns unused loopback addresses to the machines of a configuration.

use std::net::SocketAddr;

use config::Configuration;
use error_stack::Report;

use crate::error::{Error, Result};

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

/// Returns an unused loopback address; this process returns each address only once.
pub fn free() -> Result<SocketAddr> {
    standins::address::free().ok_or_else(|| {
        Report::new(Error::Listen).attach("every loopback port from 10000 to 31999 is in use")
    })
}
