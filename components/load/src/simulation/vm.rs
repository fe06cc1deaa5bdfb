//! State of one entry VM: that of the decision code of `limits` and `routing`, and that of the
//! baseline.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use config::{Class, EntryVmId, ServerId};
use limits::budget::RetryBudget;
use limits::hedge::{self, HedgeDelay};
use limits::queue::{self, Queue, Slots};
use limits::slots::{self, Ledger, Permit};
use routing::server::{Selector, Settings, UsableSlots};

use super::breaker::Breaker;
use super::domain_choice::DomainStatus;
use super::link::Link;
use super::scenario::{Policy, Scenario, Service};

/// An attempt that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedAttempt {
    /// Index of the request.
    pub request: u32,
    pub hedge: bool,
}

/// State of an entry VM for one service.
#[derive(Debug)]
pub struct ServiceState {
    /// Ids of the servers, sorted, by index.
    pub servers: Vec<ServerId>,
    pub queue: Queue<QueuedAttempt>,
    /// Quotas and loans of slots.
    pub ledger: Ledger,
    pub selector: Selector,
    pub budget: RetryBudget,
    pub hedge: HedgeDelay,
    /// Circuit breaker of each server, for [`Policy::Breaker`].
    pub breakers: Vec<Breaker>,
    /// When it last requested a loan.
    pub requested_at: Option<Duration>,
    /// Entry VM that lent each borrowed loan, by server and loan number.
    pub lenders: BTreeMap<(ServerId, u64), usize>,
    /// Slots in use by deferrable work.
    pub deferrable: u32,
    /// Server that gets the next request with [`Policy::RoundRobin`].
    pub next_server: usize,
}

impl ServiceState {
    fn new(scenario: &Scenario, service: usize, model: &Service, vm: usize) -> Self {
        let name = |i: usize| -> ServerId { format!("{service}-{i:02}").into() };
        let servers: Vec<ServerId> = (0..model.servers).map(name).collect();
        let slots: Vec<_> = servers.iter().map(|s| (s.clone(), model.slots)).collect();
        let vms: Vec<EntryVmId> = model.vms.iter().copied().map(vm_name).collect();
        let mut quotas = slots::split(&slots, &vms, &BTreeSet::new());
        let mut ledger = Ledger::new(slots::Settings::default(), Duration::ZERO);
        ledger.adopt(1, quotas.remove(&vm_name(vm)).unwrap_or_default());
        ledger.peers_settled(1);
        ledger.confirm(Duration::ZERO);
        let mut selector = Selector::new(selector_settings(scenario.policy));
        selector.set_servers(servers.iter().cloned());
        ServiceState {
            breakers: vec![Breaker::new(model.mean_service_time * 4); servers.len()],
            servers,
            queue: Queue::new(queue::Settings::default()),
            ledger,
            selector,
            budget: RetryBudget::new(config::Rules::default().retry_budget),
            hedge: HedgeDelay::new(hedge::Settings::default()),
            requested_at: None,
            lenders: BTreeMap::new(),
            deferrable: 0,
            next_server: 0,
        }
    }

    /// Returns the slots that this VM may use on all servers of the service.
    pub fn slots(&self, now: Duration) -> Slots {
        let mut slots = Slots {
            deferrable: self.deferrable,
            ..Slots::default()
        };
        for id in &self.servers {
            let usage = self.ledger.usage(now, id);
            slots.total += usage.quota + usage.borrowed;
            slots.in_use += usage.quota + usage.borrowed - usage.free();
        }
        slots
    }

    /// Chooses a server with a free slot that is not in `avoid`.
    pub fn choose(
        &self,
        now: Duration,
        class: Class,
        deadline: Duration,
        avoid: &[ServerId],
        rng: &mut fastrand::Rng,
    ) -> Option<ServerId> {
        let share = |id: &ServerId| {
            let usage = self.ledger.usage(now, id);
            let free = match class {
                Class::Binding => self.ledger.free_for_binding(now, id, deadline),
                Class::Idempotent | Class::Deferrable => usage.free(),
            };
            let allowed = self.index(id).is_some_and(|i| self.breakers[i].allows(now));
            UsableSlots {
                total: usage.quota + usage.borrowed,
                free: if allowed { free } else { 0 },
            }
        };
        // Only a hedge has servers to avoid; it needs a fast response, so it never probes a
        // suspended server.
        let may_try = avoid.is_empty();
        self.selector.choose(now, share, avoid, may_try, rng)
    }

    pub fn index(&self, id: &ServerId) -> Option<usize> {
        self.servers.binary_search(id).ok()
    }
}

/// Returns the settings of the server choice; with breakers, latencies are not compared.
fn selector_settings(policy: Policy) -> Settings {
    match policy {
        Policy::Breaker => Settings {
            latency_weight: 0.0,
            max_suspended: 0.0,
            ..Settings::default()
        },
        Policy::RoundRobin | Policy::Steered => Settings::default(),
    }
}

fn vm_name(vm: usize) -> EntryVmId {
    format!("vm-{vm}").into()
}

/// A simulated entry VM.
#[derive(Debug)]
pub struct Vm {
    /// State of each service.
    pub services: Vec<ServiceState>,
    /// Requests that wait for a connection with [`Policy::RoundRobin`].
    pub waiting: VecDeque<u32>,
    /// Requests that wait for a connection with any other policy.
    pub queue: Queue<u32>,
    /// Connections of callers, limited like slots.
    pub connections: Slots,
    /// Outgoing links: index 0 to callers, index `r + 1` to region `r`.
    pub links: Vec<Link>,
    /// Last known state of each domain.
    pub domains: Vec<DomainStatus>,
    /// Requests relayed to other domains and not yet answered, with the time of the relay.
    pub relays: BTreeMap<u32, Duration>,
    /// Execution permits of running attempts, by attempt.
    pub permits: BTreeMap<u32, Permit>,
}

impl Vm {
    pub fn new(scenario: &Scenario, vm: usize) -> Self {
        let services = scenario.services.iter().enumerate();
        let services = services.map(|(i, model)| ServiceState::new(scenario, i, model, vm));
        Vm {
            services: services.collect(),
            waiting: VecDeque::new(),
            queue: Queue::new(queue::Settings::default()),
            connections: Slots {
                total: scenario.connections,
                ..Slots::default()
            },
            links: links(scenario),
            domains: vec![DomainStatus::default(); scenario.services.len()],
            relays: BTreeMap::new(),
            permits: BTreeMap::new(),
        }
    }
}

fn links(scenario: &Scenario) -> Vec<Link> {
    let mut links = vec![Link::new(scenario.client_bytes_per_second)];
    if let Some(regions) = &scenario.regions {
        // The entry VMs of a region divide the bandwidth of its links equally.
        let count = regions.of_domain.iter().max().map_or(1, |last| last + 1);
        let share = regions.link_bytes_per_second * count as u64 / scenario.vms.max(1) as u64;
        links.extend((0..count).map(|_| Link::new(share)));
    }
    links
}
