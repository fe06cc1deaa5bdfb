//! Free loopback addresses for a configuration.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use config::Configuration;
use error_stack::ResultExt;

use crate::error::{Error, Result};

/// Replaces all addresses by free ones on loopback.
pub fn assign(configuration: &mut Configuration) -> Result<()> {
    // All listeners stay open until the end, so that no port is handed out twice.
    let mut held = Vec::new();
    let inventory = &mut configuration.inventory;
    for vm in &mut inventory.entry_vms {
        vm.caller_address = free(&mut held)?;
        vm.peer_address = free(&mut held)?;
        vm.operator_address = free(&mut held)?;
    }
    for server in &mut inventory.servers {
        server.address = free(&mut held)?;
    }
    Ok(())
}

/// Returns a free address on the loopback IP address of this process.
///
/// Between the choice of a port and its use, another deployment or an outgoing connection, which
/// starts at 127.0.0.1, could take a port of a shared address.
fn free(held: &mut Vec<TcpListener>) -> Result<SocketAddr> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 64 + high % 64, low, 1);
    let listener = TcpListener::bind((ip, 0)).change_context(Error::Listen)?;
    let address = listener.local_addr().change_context(Error::Listen)?;
    held.push(listener);
    Ok(address)
}
