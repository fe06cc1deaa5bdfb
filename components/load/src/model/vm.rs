//! One entry VM: the decision code of `limits` and `routing`, and the plain alternative.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use config::{Class, EntryVmId, ServerId};
use limits::budget::RetryBudget;
use limits::hedge::{self, HedgeDelay};
use limits::queue::{self, Queue, Slots};
use limits::slots::{self, Ledger, Permit};
use routing::server::{Selector, Settings, UsableSlots};

use super::breaker::Breaker;
use super::link::Link;
use super::scenario::{Policy, Scenario, Service};
use super::spill::Domain;

/// A waiting attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// Request.
    pub request: u32,
    /// The attempt is a hedge.
    pub hedge: bool,
}

/// What an entry VM keeps for one service.
#[derive(Debug)]
pub struct Desk {
    /// Names of the servers, by index.
    pub servers: Vec<ServerId>,
    /// Waiting attempts.
    pub queue: Queue<Job>,
    /// Slots.
    pub ledger: Ledger,
    /// Choice of server.
    pub selector: Selector,
    /// Retry budget.
    pub budget: RetryBudget,
    /// Hedge delay.
    pub hedge: HedgeDelay,
    /// Breaker per server, for [`Policy::Breaker`].
    pub breakers: Vec<Breaker>,
    /// When it last asked for a slot.
    pub asked: Option<Duration>,
    /// Entry VM of each borrowed loan, by server and loan number.
    pub lenders: BTreeMap<(ServerId, u64), usize>,
    /// Slots held by deferrable work.
    pub deferrable: u32,
    /// Next server of the round robin, for [`Policy::Plain`].
    pub turn: usize,
}

impl Desk {
    /// Creates the state of VM `vm` for a service.
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
        Desk {
            breakers: vec![Breaker::new(model.mean * 4); servers.len()],
            servers,
            queue: Queue::new(queue::Settings::default()),
            ledger,
            selector,
            budget: RetryBudget::new(config::Rules::default().retry_budget),
            hedge: HedgeDelay::new(hedge::Settings::default()),
            asked: None,
            lenders: BTreeMap::new(),
            deferrable: 0,
            turn: 0,
        }
    }

    /// Slots of this VM, for the queue.
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

    /// Chooses a server with a free slot.
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
        // A hedge must be fast, so it is no trial.
        let may_try = avoid.is_empty();
        self.selector.choose(now, share, avoid, may_try, rng)
    }

    /// Index of a server.
    pub fn index(&self, id: &ServerId) -> Option<usize> {
        self.servers.binary_search(id).ok()
    }
}

/// The breaker replaces the comparison of latencies.
fn selector_settings(policy: Policy) -> Settings {
    match policy {
        Policy::Breaker => Settings {
            latency_weight: 0.0,
            max_suspended: 0.0,
            ..Settings::default()
        },
        Policy::Plain | Policy::Steered => Settings::default(),
    }
}

fn vm_name(vm: usize) -> EntryVmId {
    format!("vm-{vm}").into()
}

/// One entry VM.
#[derive(Debug)]
pub struct Vm {
    /// State per service.
    pub desks: Vec<Desk>,
    /// Requests that wait for a connection, for [`Policy::Plain`].
    pub waiting: VecDeque<u32>,
    /// Requests that wait for a connection, otherwise.
    pub queue: Queue<u32>,
    /// Connections.
    pub connections: Slots,
    /// Links: to clients, and to each region.
    pub links: Vec<Link>,
    /// What it knows about each domain.
    pub domains: Vec<Domain>,
    /// Requests relayed to other domains, and when.
    pub relays: BTreeMap<u32, Duration>,
    /// Permits of running attempts.
    pub permits: BTreeMap<u32, Permit>,
}

impl Vm {
    /// Creates an entry VM without requests.
    pub fn new(scenario: &Scenario, vm: usize) -> Self {
        let services = scenario.services.iter().enumerate();
        let desks = services.map(|(i, model)| Desk::new(scenario, i, model, vm));
        Vm {
            desks: desks.collect(),
            waiting: VecDeque::new(),
            queue: Queue::new(queue::Settings::default()),
            connections: Slots {
                total: scenario.connections,
                ..Slots::default()
            },
            links: links(scenario),
            domains: vec![Domain::default(); scenario.services.len()],
            relays: BTreeMap::new(),
            permits: BTreeMap::new(),
        }
    }
}

fn links(scenario: &Scenario) -> Vec<Link> {
    let mut links = vec![Link::new(scenario.link)];
    if let Some(regions) = &scenario.regions {
        // The entry VMs of a region share each of its links equally.
        let count = regions.of.iter().max().map_or(1, |last| last + 1);
        let share = regions.link * count as u64 / scenario.vms.max(1) as u64;
        links.extend((0..count).map(|_| Link::new(share)));
    }
    links
}
