//! Pool of idle connections to servers and other entry VMs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crate::http::{Connection, MAX_SENT_IDS};

/// Time for which an idle connection is kept if the peer states no timeout; shorter than the idle
/// timeouts in use, so that this side closes first.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time before the idle timeout stated by the peer at which a connection is closed.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1500);
/// Maximum number of idle connections for each address.
const MAX_IDLE_PER_ADDRESS: usize = 16;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Duration,
    expires_at: Duration,
}

/// Idle connections by address, the most recently used last.
#[derive(Debug, Default)]
pub struct IdleConnections {
    by_address: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl IdleConnections {
    /// Takes the most recently used connection that is still usable, has been idle for less than
    /// `max_idle` and on which the request `id` was not sent before. Connections on which it was sent
    /// stay; unusable ones are closed.
    ///
    /// A server may repeat the answer to an earlier request late. If that request had the same id, the
    /// copy could not be told from the answer.
    pub async fn take(
        &self,
        address: SocketAddr,
        id: &str,
        max_idle: Duration,
        now: Duration,
    ) -> Option<Connection> {
        loop {
            let mut idle = self.pop_without_id(address, id)?;
            let reusable = now < idle.expires_at && now.saturating_sub(idle.idle_since) < max_idle;
            if reusable && !idle.connection.is_stale().await {
                return Some(idle.connection);
            }
        }
    }

    /// Removes and returns the most recently used connection on which the request `id` was not sent.
    fn pop_without_id(&self, address: SocketAddr, id: &str) -> Option<IdleConnection> {
        let mut by_address = self.lock();
        let connections = by_address.get_mut(&address)?;
        let found = connections.iter().rposition(|i| !i.connection.has_sent(id));
        let passed_over = connections.len() - found.map_or(0, |i| i + 1);
        let taken = found.map(|i| connections.remove(i));
        if passed_over > 0 {
            metrics::counter!("gateway_connections_passed_over_total")
                .increment(passed_over as u64);
            log::info!(
                "event=connections_passed_over id={id} address={address} count={passed_over} taken={}",
                taken
                    .as_ref()
                    .map_or("none".to_owned(), |i| i.connection.number().to_string())
            );
        }
        taken
    }

    /// Keeps a connection for reuse, unless [`MAX_SENT_IDS`] requests were sent on it; `peer_timeout` is
    /// the idle timeout that the peer states.
    pub fn put(
        &self,
        address: SocketAddr,
        connection: Connection,
        peer_timeout: Option<Duration>,
        now: Duration,
    ) {
        if connection.sent_count() >= MAX_SENT_IDS {
            return;
        }
        let timeout = peer_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |t| {
            t.saturating_sub(IDLE_TIMEOUT_MARGIN)
        });
        let mut by_address = self.lock();
        let connections = by_address.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(IdleConnection {
                connection,
                idle_since: now,
                expires_at: now + timeout,
            });
        }
    }

    /// Closes connections whose idle timeout has passed.
    pub fn expire(&self, now: Duration) {
        self.lock().retain(|_, connections| {
            connections.retain(|i| now < i.expires_at);
            !connections.is_empty()
        });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.by_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
