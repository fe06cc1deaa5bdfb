//! Status of the backend servers for the operator interface.

use std::collections::BTreeMap;

use config::ServerId;
use routing::server::State;

use super::Admission;
use crate::operator::{ServerState, ServerStatus};

impl Admission {
    /// Returns the status of each server of this failure domain.
    pub fn servers(&self) -> BTreeMap<ServerId, ServerStatus> {
        let inner = self.lock();
        let mut servers = BTreeMap::new();
        for (service, state) in &inner.services {
            for (id, server) in &state.servers {
                let status = ServerStatus {
                    service: service.clone(),
                    state: match server.effective_state() {
                        State::Ready => ServerState::Ready,
                        State::Starting => ServerState::Starting,
                        State::Leaving => ServerState::Leaving,
                    },
                    suspended: state.selector.is_suspended(id),
                };
                servers.insert(id.clone(), status);
            }
        }
        servers
    }
}
