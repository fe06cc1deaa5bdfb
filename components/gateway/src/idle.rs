//! Idle connections to servers and other entry VMs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crate::http::Connection;

/// Time for which an idle connection is kept if the other side does not say; shorter than the
/// idle limits in use, so that this side closes first.
const DEFAULT_LIFETIME: Duration = Duration::from_secs(5);
/// Time by which a connection is given up before the limit that the other side states.
const LIFETIME_MARGIN: Duration = Duration::from_millis(1500);
/// Idle connections kept for each address.
const KEPT: usize = 16;

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Duration,
    until: Duration,
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct IdleConnections {
    by_address: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl IdleConnections {
    /// Takes the connection that was used last, if it is idle for less than `limit`.
    pub async fn take(
        &self,
        address: SocketAddr,
        limit: Duration,
        now: Duration,
    ) -> Option<Connection> {
        loop {
            let mut idle = self.lock().get_mut(&address)?.pop()?;
            let fresh = now < idle.until && now.saturating_sub(idle.since) < limit;
            if fresh && !idle.connection.is_stale().await {
                return Some(idle.connection);
            }
        }
    }

    /// Keeps a connection for later use; `stated` is the idle limit of the other side.
    pub fn put(
        &self,
        address: SocketAddr,
        connection: Connection,
        stated: Option<Duration>,
        now: Duration,
    ) {
        let lifetime = stated.map_or(DEFAULT_LIFETIME, |s| s.saturating_sub(LIFETIME_MARGIN));
        let mut by_address = self.lock();
        let list = by_address.entry(address).or_default();
        if list.len() < KEPT {
            list.push(Idle {
                connection,
                since: now,
                until: now + lifetime,
            });
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn expire(&self, now: Duration) {
        self.lock().retain(|_, list| {
            list.retain(|i| now < i.until);
            !list.is_empty()
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.by_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
