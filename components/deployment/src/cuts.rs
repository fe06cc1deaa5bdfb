//! Links between the machines of a deployment that a test can cut.
//!
//! Only connections that entry VMs inside this process open are checked; those of callers are not.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock, RwLockWriteGuard};

use config::Configuration;
use entry::Reachable;

/// Links of a deployment; clones share the state.
#[derive(Clone, Default)]
pub struct Cuts {
    state: Arc<RwLock<State>>,
}

#[derive(Default)]
struct State {
    /// Machine at each address.
    machines: BTreeMap<SocketAddr, Box<str>>,
    /// Cut directions: from, to.
    cut: BTreeSet<(Box<str>, Box<str>)>,
}

impl Cuts {
    /// Learns the addresses of a configuration.
    pub fn learn(&self, configuration: &Configuration) {
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

    /// Returns what an entry VM can reach.
    pub fn reachable(&self, vm: &str) -> Reachable {
        let vm: Box<str> = vm.into();
        let state = self.state.clone();
        Arc::new(move |address| {
            let state = state.read().unwrap_or_else(PoisonError::into_inner);
            let Some(to) = state.machines.get(&address) else {
                return true;
            };
            !state.cut.contains(&(vm.clone(), to.clone()))
        })
    }

    /// Cuts one direction: `from` opens no connection to `to` any more.
    pub fn cut_one_way(&self, from: &str, to: &str) {
        self.write().cut.insert((from.into(), to.into()));
    }

    /// Cuts both directions.
    pub fn cut(&self, a: &str, b: &str) {
        self.cut_one_way(a, b);
        self.cut_one_way(b, a);
    }

    /// Cuts the entry VMs of a failure domain off from all other failure domains.
    pub fn isolate_domain(&self, configuration: &Configuration, domain: &str) {
        let inventory = &configuration.inventory;
        let inside = || {
            let vms = inventory.entry_vms.iter();
            vms.filter(|v| &*v.domain == domain)
        };
        for vm in inside() {
            for other in inventory.entry_vms.iter().filter(|v| &*v.domain != domain) {
                self.cut(&vm.id, &other.id);
            }
        }
    }

    /// Restores all links.
    pub fn restore(&self) {
        self.write().cut.clear();
    }

    fn write(&self) -> RwLockWriteGuard<'_, State> {
        self.state.write().unwrap_or_else(PoisonError::into_inner)
    }
}
