//! The event loop.

mod attempts;
mod loans;
mod relay;
mod responses;

use std::collections::BTreeMap;
use std::time::Duration;

use config::{Class, HouseId};
use limits::budget::RetryReason;
use limits::queue::{Entry, Refusal};
use routing::server::LoadReport;
use smallvec::SmallVec;

use self::loans::{Message, Route};
use super::events::Events;
use super::link::Remainder;
use super::scenario::{
    Policy, REPORT_DELAY, REPORT_INTERVAL, STRAGGLER_FACTOR, STRAGGLER_SHARE, Scenario,
};
use super::server::Server;
use super::spill::Digest;
use super::stats::Stats;
use super::vm::{Job, Vm};

/// Time between the timer events of an entry VM.
const TICK: Duration = Duration::from_millis(20);

/// What happens next.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request of a stream arrives.
    Arrive(usize),
    /// An attempt reaches its server.
    AtServer(u32),
    /// The server has finished an attempt.
    Served(u32),
    /// The response to an attempt reaches the entry VM.
    Reply(u32),
    /// The cancellation of an attempt reaches its server.
    Cancel(u32),
    /// An attempt has taken longer than usual.
    Late(u32),
    /// A chunk of a response has left the entry VM.
    Sent(Remainder),
    /// A link of an entry VM may send again.
    Link(usize, usize),
    /// A relayed request reaches an entry VM of another domain.
    Relay(u32, usize),
    /// The response to a relayed request reaches the entry VM that relayed it.
    Relayed(u32),
    /// A relayed request comes back, not run.
    NotRun(u32, Refusal),
    /// The domains measure their load.
    Digest,
    /// The load of a domain reaches the entry VMs of a region.
    Digested(usize, usize, Digest),
    /// A caller tries another entry VM.
    Reconnect(u32),
    /// A message reaches another entry VM of the domain.
    Peer(Route, Message),
    /// A region dies.
    Loss,
    /// Timers of all entry VMs.
    Tick,
    /// Servers measure their load.
    Measure,
    /// A load report reaches all entry VMs.
    Report(usize, usize, u32, Duration),
}

/// Requests of one house to one service.
struct Stream {
    service: usize,
    house: HouseId,
    rate: f64,
    rng: fastrand::Rng,
}

#[derive(Clone)]
struct Request {
    /// Domain that its caller prefers.
    home: usize,
    /// Domain of the entry VM that the caller has reached.
    service: usize,
    house: HouseId,
    /// Entry VM that the caller has reached.
    vm: usize,
    /// Domain whose servers run it.
    pool: usize,
    /// Entry VM of that domain.
    at: usize,
    /// Domains that have not run it.
    tried: SmallVec<[usize; 4]>,
    /// Times that a server has started it.
    starts: u32,
    /// The caller has its answer, or has given up.
    ended: bool,
    arrived: Duration,
    /// When it got a connection of its entry VM.
    connected: Duration,
    /// Service time of the first attempt at a server that is not slowed.
    work: Duration,
    attempts: SmallVec<[u32; 2]>,
    done: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Sent,
    InSlot,
    Ended,
}

struct Attempt {
    request: u32,
    server: usize,
    started: Duration,
    work: Duration,
    state: State,
}

/// Runs a scenario until every request has ended.
pub fn run(scenario: Scenario) -> Stats {
    let mut world = World::new(scenario);
    while let Some((now, event)) = world.events.pop() {
        world.now = now;
        world.handle(event);
    }
    world.finish()
}

struct World {
    scenario: Scenario,
    now: Duration,
    events: Events<Event>,
    streams: Vec<Stream>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    vms: Vec<Vm>,
    servers: Vec<Vec<Server>>,
    rng: fastrand::Rng,
    open: usize,
    /// Region that has died.
    lost: Option<usize>,
    /// When each link between regions has sent everything, by origin and destination.
    link_ends: BTreeMap<(usize, usize), Duration>,
    stats: Stats,
}

impl World {
    fn new(scenario: Scenario) -> Self {
        let mut streams = Vec::new();
        for (service, model) in scenario.services.iter().enumerate() {
            for (i, (house, rate)) in (0_u64..).zip(&model.houses) {
                // Each stream has its own seed, so that runs with and without another stream
                // see the same requests.
                let salt = (service as u64 + 1) << 32 | i;
                streams.push(Stream {
                    service,
                    house: house.clone(),
                    rate: *rate,
                    rng: fastrand::Rng::with_seed(scenario.seed.wrapping_mul(0x9E37_79B9) ^ salt),
                });
            }
        }
        let servers = scenario.services.iter();
        let servers = servers.map(|m| vec![Server::new(m.slots); m.servers]);
        let mut world = World {
            servers: servers.collect(),
            vms: (0..scenario.vms).map(|vm| Vm::new(&scenario, vm)).collect(),
            rng: fastrand::Rng::with_seed(scenario.seed),
            scenario,
            now: Duration::ZERO,
            events: Events::default(),
            streams,
            requests: Vec::new(),
            attempts: Vec::new(),
            open: 0,
            lost: None,
            link_ends: BTreeMap::new(),
            stats: Stats::default(),
        };
        for stream in 0..world.streams.len() {
            world.schedule_arrival(stream);
        }
        world.events.push(TICK, Event::Tick);
        world.events.push(REPORT_INTERVAL, Event::Measure);
        world.start_regions();
        world
    }

    fn finish(mut self) -> Stats {
        for server in self.servers.iter().flatten() {
            self.stats.over_limit += server.over_limit;
        }
        for desk in self.vms.iter().flat_map(|vm| &vm.desks) {
            let counts = desk.servers.iter().map(|id| desk.selector.counts(id));
            self.stats.suspended += counts.map(|c| c.suspended).sum::<u64>();
        }
        self.stats
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(stream) => self.arrive(stream),
            Event::AtServer(attempt) => self.at_server(attempt),
            Event::Served(attempt) => self.served(attempt),
            Event::Reply(attempt) => self.reply(attempt),
            Event::Cancel(attempt) => self.cancel_at_server(attempt),
            Event::Late(attempt) => self.late(attempt),
            Event::Sent(response) => self.sent(response),
            Event::Link(vm, to) => {
                self.vms[vm].links[to].asked_at = None;
                if !self.is_vm_lost(vm) {
                    self.pump_link(vm, to);
                }
            }
            Event::Relay(request, vm) => self.relay_arrives(request, vm),
            Event::Relayed(request) => self.relay_answered(request),
            Event::NotRun(request, why) => self.relay_refused(request, why),
            Event::Digest => self.measure_domains(),
            Event::Digested(domain, region, digest) => self.digested(domain, region, digest),
            Event::Reconnect(request) => self.reconnect(request),
            Event::Peer(route, message) => self.peer_message(route, message),
            Event::Loss => self.lose_region(),
            Event::Tick => self.tick(),
            Event::Measure => self.measure(),
            Event::Report(service, server, busy, measured) => {
                self.report(service, server, busy, measured);
            }
        }
    }

    /// True while requests arrive or run.
    fn active(&self) -> bool {
        self.now < self.scenario.end || self.open > 0
    }

    fn class(&self, request: u32) -> Class {
        self.scenario.services[self.requests[request as usize].service].class
    }

    fn schedule_arrival(&mut self, stream: usize) {
        let s = &mut self.streams[stream];
        let gap = Duration::from_secs_f64(-(1.0 - s.rng.f64()).ln() / s.rate);
        let at = self.now + gap;
        if at < self.scenario.end {
            self.events.push(at, Event::Arrive(stream));
        }
    }

    fn arrive(&mut self, stream: usize) {
        let s = &mut self.streams[stream];
        let work = draw(self.scenario.services[s.service].mean, &mut s.rng);
        let vms = &self.scenario.services[s.service].vms;
        let vm = vms[s.rng.usize(..vms.len())];
        let request = self.requests.len() as u32;
        self.requests.push(Request {
            home: s.service,
            service: s.service,
            house: s.house.clone(),
            vm,
            pool: s.service,
            at: vm,
            tried: SmallVec::new(),
            starts: 0,
            ended: false,
            arrived: self.now,
            connected: self.now,
            work,
            attempts: SmallVec::new(),
            done: false,
        });
        self.open += 1;
        self.schedule_arrival(stream);
        self.connect(request);
    }

    /// Gives the request a connection of its entry VM, or queues it for one.
    fn connect(&mut self, request: u32) {
        let vm = self.requests[request as usize].vm;
        if self.is_vm_lost(vm) {
            self.reconnect_later(request);
            return;
        }
        if self.scenario.connections == u32::MAX {
            self.begin(request);
            return;
        }
        if self.scenario.policy == Policy::Plain {
            self.vms[vm].waiting.push_back(request);
        } else {
            let entry = self.entry(request, request);
            let slots = self.vms[vm].connections;
            match self.vms[vm].queue.push(self.now, entry, slots) {
                Ok(Some(displaced)) => self.refuse(displaced.item, Refusal::Displaced),
                Ok(None) => {}
                Err((why, _)) => self.refuse(request, why),
            }
        }
        self.pump_connections(vm);
    }

    fn entry<T>(&self, request: u32, item: T) -> Entry<T> {
        let r = &self.requests[request as usize];
        Entry {
            class: self.class(request),
            house: r.house.clone(),
            deadline: r.arrived + self.scenario.deadline,
            cost: 1,
            item,
        }
    }

    fn pump_connections(&mut self, vm: usize) {
        loop {
            let slots = self.vms[vm].connections;
            let next = if slots.in_use >= slots.total {
                None
            } else if self.scenario.policy == Policy::Plain {
                self.vms[vm].waiting.pop_front()
            } else {
                let popped = self.vms[vm].queue.pop(self.now, slots);
                for entry in popped.expired {
                    self.refuse(entry.item, Refusal::Expired);
                }
                popped.next.map(|e| e.item)
            };
            let Some(request) = next else {
                return;
            };
            let deferrable = u32::from(self.class(request) == Class::Deferrable);
            self.vms[vm].connections.in_use += 1;
            self.vms[vm].connections.deferrable += deferrable;
            self.requests[request as usize].connected = self.now;
            self.begin(request);
        }
    }

    /// Queues the first attempt of a request that has a connection.
    fn begin(&mut self, request: u32) {
        let Request {
            vm, service, work, ..
        } = self.requests[request as usize];
        let desk = &mut self.vms[vm].desks[service];
        if self.scenario.policy == Policy::Plain {
            let server = desk.turn;
            desk.turn = (server + 1) % desk.servers.len();
            self.start(request, server, work);
            return;
        }
        if self.relays() && self.route(request) {
            return;
        }
        self.enqueue_first(request);
    }

    /// Queues the first attempt at the entry VM that runs it.
    fn enqueue_first(&mut self, request: u32) {
        let Request {
            at: vm,
            pool: service,
            ..
        } = self.requests[request as usize];
        let job = Job {
            request,
            hedge: false,
        };
        self.enqueue(job);
        self.pump(vm, service);
    }

    fn enqueue(&mut self, job: Job) {
        let Request {
            at: vm,
            pool: service,
            ..
        } = self.requests[job.request as usize];
        let entry = self.entry(job.request, job);
        let desk = &mut self.vms[vm].desks[service];
        let slots = desk.slots(self.now);
        match desk.queue.push(self.now, entry, slots) {
            Ok(displaced) => {
                if let Some(entry) = displaced {
                    self.drop_job(entry.item, Refusal::Displaced);
                }
            }
            Err((why, entry)) => self.drop_job(entry.item, why),
        }
    }

    /// A dropped hedge is no refusal: the first attempt runs.
    fn drop_job(&mut self, job: Job, why: Refusal) {
        if job.hedge {
            let Request { at, pool, .. } = self.requests[job.request as usize];
            let budget = &mut self.vms[at].desks[pool].budget;
            budget.refund(RetryReason::Hedge);
        } else if self.requests[job.request as usize].at != self.requests[job.request as usize].vm {
            self.send_back(job.request, why);
        } else {
            self.release_connection(job.request);
            self.refuse(job.request, why);
        }
    }

    fn tick(&mut self) {
        if !self.active() {
            return;
        }
        self.events.push(self.now + TICK, Event::Tick);
        if self.scenario.policy == Policy::Plain {
            return;
        }
        for vm in 0..self.vms.len() {
            if self.is_vm_lost(vm) {
                continue;
            }
            self.check_relays(vm);
            for entry in self.vms[vm].queue.expire(self.now) {
                self.refuse(entry.item, Refusal::Expired);
            }
            for service in 0..self.vms[vm].desks.len() {
                self.tend_loans(vm, service);
                let desk = &mut self.vms[vm].desks[service];
                for entry in desk.queue.expire(self.now) {
                    self.drop_job(entry.item, Refusal::Expired);
                }
                self.pump(vm, service);
            }
        }
    }

    fn measure(&mut self) {
        if !self.active() {
            return;
        }
        self.events.push(self.now + REPORT_INTERVAL, Event::Measure);
        for (service, servers) in self.servers.iter().enumerate() {
            for (i, server) in servers.iter().enumerate() {
                let report = Event::Report(service, i, server.busy, self.now);
                self.events.push(self.now + REPORT_DELAY, report);
            }
        }
    }

    fn report(&mut self, service: usize, server: usize, busy: u32, measured: Duration) {
        let slots = self.servers[service][server].slots;
        for vm in &mut self.vms {
            let desk = &mut vm.desks[service];
            let report = LoadReport {
                measured_at: measured,
                busy,
                slots,
            };
            desk.selector.set_report(&desk.servers[server], report);
        }
    }
}

/// Draws a service time: exponential, with rare stragglers.
fn draw(mean: Duration, rng: &mut fastrand::Rng) -> Duration {
    let time = mean.mul_f64(-(1.0 - rng.f64()).ln());
    if rng.f64() < STRAGGLER_SHARE {
        time.mul_f64(STRAGGLER_FACTOR)
    } else {
        time
    }
}
