//! What servers receive and which shares are in force, sampled while something is drained.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::Task;
use config::{DomainId, ServerId, ServiceId};
use deployment::Deployment;
use http::Method;
use http::client::{self, ClientOptions};
use routing::Shares;
use serde::Deserialize;
use standins::server::Server;

/// Time between two looks at the servers.
const SERVER_PERIOD: Duration = Duration::from_millis(50);
/// Time between two reads of the shares.
const SHARE_PERIOD: Duration = Duration::from_millis(500);

/// Work that servers received, with times since the start of the drain.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// Executions started before the drain.
    pub started_before: u64,
    /// Executions started after it began.
    pub started_after: u64,
    /// Last look at which there were new executions or refusals.
    pub last_arrival: Duration,
    /// Last look at which a server was busy.
    pub last_busy: Duration,
}

/// Looks at some servers until it is stopped.
pub struct ServerWatch {
    stop: Sender<()>,
    task: Task<Seen>,
}

impl ServerWatch {
    /// Starts to look at the selected servers.
    pub fn start(
        servers: &BTreeMap<ServerId, Server>,
        is_selected: impl Fn(&ServerId) -> bool,
        started: Instant,
    ) -> ServerWatch {
        let selected: Vec<Server> = servers
            .iter()
            .filter(|(id, _)| is_selected(id))
            .map(|(_, s)| s.clone())
            .collect();
        let (stop, stopped) = async_channel::bounded(1);
        let task = runtime::spawn(async move {
            let (before, _) = look(&selected);
            let mut seen = Seen {
                started_before: before,
                ..Seen::default()
            };
            let mut known = before;
            while !stopped.is_closed() {
                runtime::sleep(SERVER_PERIOD).await;
                let (arrived, busy) = look(&selected);
                if arrived > known {
                    known = arrived;
                    seen.last_arrival = started.elapsed();
                }
                if busy > 0 {
                    seen.last_busy = started.elapsed();
                }
            }
            seen.started_after = known - before;
            // A short request can begin and end between two looks.
            seen.last_busy = seen.last_busy.max(seen.last_arrival);
            seen
        });
        ServerWatch { stop, task }
    }

    /// Ends the watch.
    pub async fn stop(self) -> Seen {
        drop(self.stop);
        self.task.await
    }
}

/// Requests received and in service.
fn look(servers: &[Server]) -> (u64, usize) {
    servers.iter().fold((0, 0), |(arrived, busy), server| {
        let seen = server.stats();
        (arrived + seen.started + seen.shed, busy + seen.in_service)
    })
}

/// The part of an entry VM's status that is sampled.
#[derive(Deserialize)]
struct Status {
    domain: DomainId,
    shares: BTreeMap<ServiceId, Shares>,
}

/// Shares of one service in force at one entry VM.
type Path = Vec<(Duration, Shares)>;

/// Shares over time, by entry VM and service.
#[derive(Debug, Default)]
pub struct Moved {
    paths: BTreeMap<(SocketAddr, DomainId, ServiceId), Path>,
}

impl Moved {
    /// Number of samples.
    pub fn samples(&self) -> usize {
        self.paths.values().map(Vec::len).sum()
    }

    /// Largest share moved within a window at one entry VM.
    pub fn most_moved(&self, window: Duration) -> f64 {
        let most = |path: &Path| {
            let ends = path.iter().enumerate();
            ends.map(|(i, (at, shares))| {
                let earlier = path[..=i]
                    .iter()
                    .filter(|(t, _)| at.saturating_sub(*t) <= window);
                let moved = earlier.map(|(_, old)| config::moved_share(old, shares));
                moved.fold(0.0, f64::max)
            })
            .fold(0.0, f64::max)
        };
        self.paths.values().map(most).fold(0.0, f64::max)
    }

    /// Share of its own work that a domain keeps at first, at most over its entry VMs and services.
    pub fn own_share_at_start(&self, domain: &str) -> f64 {
        self.own_share(domain, |path| path.first())
    }

    /// The same at the end.
    pub fn own_share_at_end(&self, domain: &str) -> f64 {
        self.own_share(domain, |path| path.last())
    }

    fn own_share(&self, domain: &str, of: impl Fn(&Path) -> Option<&(Duration, Shares)>) -> f64 {
        let own = self.paths.iter().filter(|((_, d, _), _)| **d == *domain);
        own.filter_map(|(_, path)| of(path)?.1.get(domain).copied())
            .fold(0.0, f64::max)
    }
}

/// Reads the shares of all running entry VMs until it is stopped.
pub struct ShareWatch {
    stop: Sender<()>,
    task: Task<Moved>,
}

impl ShareWatch {
    /// Starts to read.
    pub fn start(deployment: &Deployment, started: Instant) -> ShareWatch {
        let addresses: Vec<_> = deployment
            .running()
            .iter()
            .map(|v| v.operator_address)
            .collect();
        let (stop, stopped) = async_channel::bounded(1);
        let task = runtime::spawn(async move {
            let mut moved = Moved::default();
            while !stopped.is_closed() {
                for address in &addresses {
                    if let Some(status) = read(*address).await {
                        let at = started.elapsed();
                        for (service, shares) in status.shares {
                            let key = (*address, status.domain.clone(), service);
                            moved.paths.entry(key).or_default().push((at, shares));
                        }
                    }
                }
                runtime::sleep(SHARE_PERIOD).await;
            }
            moved
        });
        ShareWatch { stop, task }
    }

    /// Ends the watch.
    pub async fn stop(self) -> Moved {
        drop(self.stop);
        self.task.await
    }
}

async fn read(address: SocketAddr) -> Option<Status> {
    let req = client::build_request(Method::Get, "/status").ok()?;
    let options = ClientOptions::default();
    let mut res = Box::pin(client::request(address, req, &options))
        .await
        .ok()?;
    client::parse_json(&mut res).await.ok()
}
