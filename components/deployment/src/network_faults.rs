//! Simulated network failures between the machines of a deployment.
//!
//! They affect only connections that entry VMs in this process open, not those of callers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock, RwLockWriteGuard};

use config::Configuration;
use entry::Reachable;

/// Blocked connections between machines; clones share the state.
#[derive(Clone, Default)]
pub struct NetworkFaults {
    state: Arc<RwLock<State>>,
}

#[derive(Default)]
struct State {
    /// Id of the machine at each address.
    machines: BTreeMap<SocketAddr, Box<str>>,
    /// Pairs of a machine and another one that it cannot connect to.
    blocked: BTreeSet<(Box<str>, Box<str>)>,
}

impl NetworkFaults {
    /// Registers the addresses of all machines of a configuration.
    pub fn register_addresses(&self, configuration: &Configuration) {
        let mut state = self.write();
        for vm in &configuration.inventory.entry_vms {
            for address in [vm.caller_address, vm.peer_address] {
                state.machines.insert(address, vm.id.clone());
            }
        }
        for server in &configuration.inventory.servers {
            state.machines.insert(server.address, server.id.clone());
        }
    }

    /// Returns the check for whether an entry VM can reach an address.
    pub fn reachable(&self, vm: &str) -> Reachable {
        let vm: Box<str> = vm.into();
        let state = self.state.clone();
        Arc::new(move |address| {
            let state = state.read().unwrap_or_else(PoisonError::into_inner);
            let Some(to) = state.machines.get(&address) else {
                return true;
            };
            !state.blocked.contains(&(vm.clone(), to.clone()))
        })
    }

    /// Blocks new connections from `from` to `to`, but not those in the opposite direction.
    pub fn block_one_way(&self, from: &str, to: &str) {
        self.write().blocked.insert((from.into(), to.into()));
    }

    /// Blocks new connections in both directions.
    pub fn block(&self, a: &str, b: &str) {
        self.block_one_way(a, b);
        self.block_one_way(b, a);
    }

    /// Blocks connections between the entry VMs of a failure domain and those of all others.
    pub fn isolate_domain(&self, configuration: &Configuration, domain: &str) {
        let inventory = &configuration.inventory;
        let domain_vms = || {
            let vms = inventory.entry_vms.iter();
            vms.filter(|v| &*v.domain == domain)
        };
        for vm in domain_vms() {
            for other in inventory.entry_vms.iter().filter(|v| &*v.domain != domain) {
                self.block(&vm.id, &other.id);
            }
        }
    }

    /// Removes all blocks.
    pub fn restore(&self) {
        self.write().blocked.clear();
    }

    fn write(&self) -> RwLockWriteGuard<'_, State> {
        self.state.write().unwrap_or_else(PoisonError::into_inner)
    }
}
