//! What operators see of the backend servers.

use std::collections::BTreeMap;

use config::ServerId;
use routing::server::State;

use super::Admission;
use crate::operator::{ServerState, ServerStatus};

impl Admission {
    /// Returns the state of each server of this failure domain.
    pub fn servers(&self) -> BTreeMap<ServerId, ServerStatus> {
        let inner = self.lock();
        let mut servers = BTreeMap::new();
        for (service, state) in &inner.services {
            for (id, server) in &state.servers {
                let status = ServerStatus {
                    service: service.clone(),
                    state: match server.effective() {
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
