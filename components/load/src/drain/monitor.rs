//! Samples the activity of servers and the shares in force at entry VMs during a drain.

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

/// Interval between two samples of the servers.
const SERVER_SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two samples of the shares.
const SHARE_SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Activity of servers; times are counted from the start of the drain.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerActivity {
    /// Requests received before the drain began.
    pub started_before: u64,
    /// Requests received after the drain began.
    pub started_after: u64,
    /// Last sample with new executions or refusals.
    pub last_arrival: Duration,
    /// Last sample in which a server was busy.
    pub last_busy: Duration,
}

/// Samples selected servers until it is stopped.
pub struct ServerMonitor {
    stop: Sender<()>,
    task: Task<ServerActivity>,
}

impl ServerMonitor {
    pub fn start(
        servers: &BTreeMap<ServerId, Server>,
        is_selected: impl Fn(&ServerId) -> bool,
        started: Instant,
    ) -> ServerMonitor {
        let selected: Vec<Server> = servers
            .iter()
            .filter(|(id, _)| is_selected(id))
            .map(|(_, s)| s.clone())
            .collect();
        let (stop, stopped) = async_channel::bounded(1);
        let task = runtime::spawn(async move {
            let (before, _) = sample(&selected);
            let mut activity = ServerActivity {
                started_before: before,
                ..ServerActivity::default()
            };
            let mut known = before;
            while !stopped.is_closed() {
                runtime::sleep(SERVER_SAMPLE_INTERVAL).await;
                let (arrived, busy) = sample(&selected);
                if arrived > known {
                    known = arrived;
                    activity.last_arrival = started.elapsed();
                }
                if busy > 0 {
                    activity.last_busy = started.elapsed();
                }
            }
            activity.started_after = known - before;
            // A short request can start and end between two samples.
            activity.last_busy = activity.last_busy.max(activity.last_arrival);
            activity
        });
        ServerMonitor { stop, task }
    }

    /// Stops sampling.
    pub async fn stop(self) -> ServerActivity {
        drop(self.stop);
        self.task.await
    }
}

/// Returns the number of requests received, including refused ones, and of those in service.
fn sample(servers: &[Server]) -> (u64, usize) {
    servers.iter().fold((0, 0), |(arrived, busy), server| {
        let executions = server.stats();
        (
            arrived + executions.started + executions.shed,
            busy + executions.in_service,
        )
    })
}

/// The sampled fields of an entry VM's status.
#[derive(Deserialize)]
struct Status {
    domain: DomainId,
    shares: BTreeMap<ServiceId, Shares>,
}

/// Shares of one service in force at one entry VM, over time.
type ShareHistory = Vec<(Duration, Shares)>;

/// Shares over time, by entry VM and service.
#[derive(Debug, Default)]
pub struct ShareSamples {
    histories: BTreeMap<(SocketAddr, DomainId, ServiceId), ShareHistory>,
}

impl ShareSamples {
    /// Returns the number of samples.
    pub fn count(&self) -> usize {
        self.histories.values().map(Vec::len).sum()
    }

    /// Returns the largest share that moved within a window at any entry VM.
    pub fn max_moved(&self, window: Duration) -> f64 {
        let max_of_history = |history: &ShareHistory| {
            let ends = history.iter().enumerate();
            ends.map(|(i, (at, shares))| {
                let earlier = history[..=i]
                    .iter()
                    .filter(|(t, _)| at.saturating_sub(*t) <= window);
                let moved = earlier.map(|(_, old)| config::moved_share(old, shares));
                moved.fold(0.0, f64::max)
            })
            .fold(0.0, f64::max)
        };
        self.histories
            .values()
            .map(max_of_history)
            .fold(0.0, f64::max)
    }

    /// Returns the share of its own requests that a domain keeps in the first sample; the maximum over
    /// its entry VMs and services.
    pub fn own_share_at_start(&self, domain: &str) -> f64 {
        self.own_share(domain, |history| history.first())
    }

    /// Returns the same for the last sample.
    pub fn own_share_at_end(&self, domain: &str) -> f64 {
        self.own_share(domain, |history| history.last())
    }

    fn own_share(
        &self,
        domain: &str,
        of: impl Fn(&ShareHistory) -> Option<&(Duration, Shares)>,
    ) -> f64 {
        let own = self
            .histories
            .iter()
            .filter(|((_, d, _), _)| **d == *domain);
        own.filter_map(|(_, history)| of(history)?.1.get(domain).copied())
            .fold(0.0, f64::max)
    }
}

/// Samples the shares of all running entry VMs until it is stopped.
pub struct ShareMonitor {
    stop: Sender<()>,
    task: Task<ShareSamples>,
}

impl ShareMonitor {
    pub fn start(deployment: &Deployment, started: Instant) -> ShareMonitor {
        let addresses: Vec<_> = deployment
            .running()
            .iter()
            .map(|v| v.operator_address)
            .collect();
        let (stop, stopped) = async_channel::bounded(1);
        let task = runtime::spawn(async move {
            let mut samples = ShareSamples::default();
            while !stopped.is_closed() {
                for address in &addresses {
                    if let Some(status) = read_status(*address).await {
                        let at = started.elapsed();
                        for (service, shares) in status.shares {
                            let key = (*address, status.domain.clone(), service);
                            samples.histories.entry(key).or_default().push((at, shares));
                        }
                    }
                }
                runtime::sleep(SHARE_SAMPLE_INTERVAL).await;
            }
            samples
        });
        ShareMonitor { stop, task }
    }

    /// Stops sampling.
    pub async fn stop(self) -> ShareSamples {
        drop(self.stop);
        self.task.await
    }
}

async fn read_status(address: SocketAddr) -> Option<Status> {
    let req = client::build_request(Method::Get, "/status").ok()?;
    let options = ClientOptions::default();
    let mut res = Box::pin(client::request(address, req, &options))
        .await
        .ok()?;
    client::parse_json(&mut res).await.ok()
}
