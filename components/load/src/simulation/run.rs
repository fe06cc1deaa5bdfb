//! The event loop of the simulation.

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
use super::domain_choice::Digest;
use super::events::Events;
use super::link::PendingResponse;
use super::scenario::{
    Policy, REPORT_DELAY, REPORT_INTERVAL, STRAGGLER_FACTOR, STRAGGLER_SHARE, Scenario,
};
use super::server::Server;
use super::stats::Stats;
use super::vm::{QueuedAttempt, Vm};

/// Interval between the timer events of the entry VMs.
const TICK: Duration = Duration::from_millis(20);

/// A scheduled event. The numbers are indices of streams, attempts, requests, VMs, links, domains,
/// services and servers.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request of a stream arrives.
    Arrival(usize),
    /// An attempt reaches its server.
    ServerArrival(u32),
    /// A server finishes an attempt.
    ServerFinished(u32),
    /// The response to an attempt reaches the entry VM.
    Response(u32),
    /// The cancellation of a running attempt reaches its server.
    Cancel(u32),
    /// An attempt has run for the hedge delay.
    Overdue(u32),
    /// The last byte of a chunk leaves the entry VM.
    ChunkSent(PendingResponse),
    /// The pacer of a link (VM, index of the link) allows the next chunk.
    LinkReady(usize, usize),
    /// A relayed request reaches an entry VM of another domain.
    RelayArrival(u32, usize),
    /// The response to a relayed request reaches the entry VM that relayed it.
    RelayResponse(u32),
    /// The refusal of a relayed request, which was not run, reaches the entry VM that relayed it.
    RelayRefused(u32, Refusal),
    /// All domains measure their load.
    MeasureDomains,
    /// The digest of a domain (first index) reaches the entry VMs of a domain (second index).
    DigestArrival(usize, usize, Digest),
    /// A caller connects to an entry VM of any live domain.
    Reconnect(u32),
    /// A message about loans reaches another entry VM of the domain.
    PeerMessage(Route, Message),
    /// A region fails.
    RegionLoss,
    /// The timers of all entry VMs run.
    Tick,
    /// All servers measure their load.
    MeasureServers,
    /// A load report (service, server, slots in use, time of the measurement) reaches all entry
    /// VMs.
    ReportArrival(usize, usize, u32, Duration),
}

/// Poisson arrivals of the requests of one house to one service.
struct Stream {
    service: usize,
    house: HouseId,
    rate: f64,
    rng: fastrand::Rng,
}

#[derive(Clone)]
struct Request {
    /// Index of the service, or with regions of the domain, that the caller prefers.
    home: usize,
    /// Index of the service, or with regions of the domain, at which the caller's entry VM is.
    service: usize,
    house: HouseId,
    /// Entry VM to which the caller is connected.
    vm: usize,
    /// Index of the service, or with regions of the domain, whose servers run it.
    pool: usize,
    /// Entry VM of `pool` that sends it to a server; differs from `vm` if the request was relayed.
    pool_vm: usize,
    /// Domains that refused it or timed out.
    tried_domains: SmallVec<[usize; 4]>,
    /// Number of times that a server started it.
    starts: u32,
    /// The caller has a response or a refusal, or has given up.
    ended: bool,
    arrived: Duration,
    /// When it got a connection of its entry VM.
    connected: Duration,
    /// Service time of the first attempt at a server that is not slowed down.
    service_time: Duration,
    attempts: SmallVec<[u32; 2]>,
    /// No further attempt may start.
    done: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// On the way to or from the server, or waiting at the server.
    Sent,
    /// Running in a slot of the server.
    InSlot,
    Ended,
}

struct Attempt {
    request: u32,
    server: usize,
    started: Duration,
    service_time: Duration,
    state: State,
}

/// Runs a scenario until every request has ended.
pub fn run(scenario: Scenario) -> Stats {
    let mut simulation = Simulation::new(scenario);
    while let Some((now, event)) = simulation.events.pop() {
        simulation.now = now;
        simulation.handle(event);
    }
    simulation.finish()
}

struct Simulation {
    scenario: Scenario,
    now: Duration,
    events: Events<Event>,
    streams: Vec<Stream>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    vms: Vec<Vm>,
    servers: Vec<Vec<Server>>,
    rng: fastrand::Rng,
    /// Requests that have not ended.
    open_requests: usize,
    /// Region that has failed.
    lost_region: Option<usize>,
    /// Time at which the backlog of each link between regions is sent, by origin and destination.
    link_free_at: BTreeMap<(usize, usize), Duration>,
    stats: Stats,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let mut streams = Vec::new();
        for (service, model) in scenario.services.iter().enumerate() {
            for (i, (house, rate)) in (0_u64..).zip(&model.houses) {
                // Each stream has its own seed, so that its requests are the same whether or not
                // other streams are part of the run.
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
        let mut simulation = Simulation {
            servers: servers.collect(),
            vms: (0..scenario.vms).map(|vm| Vm::new(&scenario, vm)).collect(),
            rng: fastrand::Rng::with_seed(scenario.seed),
            scenario,
            now: Duration::ZERO,
            events: Events::default(),
            streams,
            requests: Vec::new(),
            attempts: Vec::new(),
            open_requests: 0,
            lost_region: None,
            link_free_at: BTreeMap::new(),
            stats: Stats::default(),
        };
        for stream in 0..simulation.streams.len() {
            simulation.schedule_arrival(stream);
        }
        simulation.events.push(TICK, Event::Tick);
        simulation
            .events
            .push(REPORT_INTERVAL, Event::MeasureServers);
        simulation.start_regions();
        simulation
    }

    fn finish(mut self) -> Stats {
        for server in self.servers.iter().flatten() {
            self.stats.over_limit += server.over_limit;
        }
        for service_state in self.vms.iter().flat_map(|vm| &vm.services) {
            let counts = service_state
                .servers
                .iter()
                .map(|id| service_state.selector.counts(id));
            self.stats.suspended += counts.map(|c| c.suspended).sum::<u64>();
        }
        self.stats
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(stream) => self.arrive(stream),
            Event::ServerArrival(attempt) => self.arrive_at_server(attempt),
            Event::ServerFinished(attempt) => self.finish_at_server(attempt),
            Event::Response(attempt) => self.receive_response(attempt),
            Event::Cancel(attempt) => self.cancel_at_server(attempt),
            Event::Overdue(attempt) => self.handle_overdue(attempt),
            Event::ChunkSent(response) => self.chunk_sent(response),
            Event::LinkReady(vm, to) => {
                self.vms[vm].links[to].wake_at = None;
                if !self.is_vm_lost(vm) {
                    self.poll_link(vm, to);
                }
            }
            Event::RelayArrival(request, vm) => self.receive_relay(request, vm),
            Event::RelayResponse(request) => self.receive_relay_response(request),
            Event::RelayRefused(request, why) => self.receive_relay_refusal(request, why),
            Event::MeasureDomains => self.measure_domains(),
            Event::DigestArrival(domain, to, digest) => self.receive_digest(domain, to, digest),
            Event::Reconnect(request) => self.reconnect(request),
            Event::PeerMessage(route, message) => self.peer_message(route, message),
            Event::RegionLoss => self.lose_region(),
            Event::Tick => self.tick(),
            Event::MeasureServers => self.measure_servers(),
            Event::ReportArrival(service, server, busy, measured) => {
                self.receive_report(service, server, busy, measured);
            }
        }
    }

    /// Returns true while requests arrive or run.
    fn active(&self) -> bool {
        self.now < self.scenario.arrivals_end || self.open_requests > 0
    }

    fn class(&self, request: u32) -> Class {
        self.scenario.services[self.requests[request as usize].service].class
    }

    fn schedule_arrival(&mut self, stream: usize) {
        let s = &mut self.streams[stream];
        let gap = Duration::from_secs_f64(-(1.0 - s.rng.f64()).ln() / s.rate);
        let at = self.now + gap;
        if at < self.scenario.arrivals_end {
            self.events.push(at, Event::Arrival(stream));
        }
    }

    fn arrive(&mut self, stream: usize) {
        let s = &mut self.streams[stream];
        let service_time = draw_service_time(
            self.scenario.services[s.service].mean_service_time,
            &mut s.rng,
        );
        let vms = &self.scenario.services[s.service].vms;
        let vm = vms[s.rng.usize(..vms.len())];
        let request = self.requests.len() as u32;
        self.requests.push(Request {
            home: s.service,
            service: s.service,
            house: s.house.clone(),
            vm,
            pool: s.service,
            pool_vm: vm,
            tried_domains: SmallVec::new(),
            starts: 0,
            ended: false,
            arrived: self.now,
            connected: self.now,
            service_time,
            attempts: SmallVec::new(),
            done: false,
        });
        self.open_requests += 1;
        self.schedule_arrival(stream);
        self.connect(request);
    }

    /// Assigns a connection of its entry VM to the request, or queues it for one.
    fn connect(&mut self, request: u32) {
        let vm = self.requests[request as usize].vm;
        if self.is_vm_lost(vm) {
            self.reconnect_later(request);
            return;
        }
        if self.scenario.connections == u32::MAX {
            self.dispatch(request);
            return;
        }
        if self.scenario.policy == Policy::RoundRobin {
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
        self.assign_connections(vm);
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

    fn assign_connections(&mut self, vm: usize) {
        loop {
            let slots = self.vms[vm].connections;
            let next = if slots.in_use >= slots.total {
                None
            } else if self.scenario.policy == Policy::RoundRobin {
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
            self.dispatch(request);
        }
    }

    /// Starts a request that has a connection: sends it to the next server in turn, relays it, or
    /// queues its first attempt.
    fn dispatch(&mut self, request: u32) {
        let Request {
            vm,
            service,
            service_time,
            ..
        } = self.requests[request as usize];
        let service_state = &mut self.vms[vm].services[service];
        if self.scenario.policy == Policy::RoundRobin {
            let server = service_state.next_server;
            service_state.next_server = (server + 1) % service_state.servers.len();
            self.send_attempt(request, server, service_time);
            return;
        }
        if self.relays() && self.try_relay(request) {
            return;
        }
        self.enqueue_first(request);
    }

    /// Queues the first attempt at the entry VM that sends it to a server.
    fn enqueue_first(&mut self, request: u32) {
        let Request {
            pool_vm: vm,
            pool: service,
            ..
        } = self.requests[request as usize];
        let queued = QueuedAttempt {
            request,
            hedge: false,
        };
        self.enqueue(queued);
        self.start_waiting(vm, service);
    }

    fn enqueue(&mut self, queued: QueuedAttempt) {
        let Request {
            pool_vm: vm,
            pool: service,
            ..
        } = self.requests[queued.request as usize];
        let entry = self.entry(queued.request, queued);
        let service_state = &mut self.vms[vm].services[service];
        let slots = service_state.slots(self.now);
        match service_state.queue.push(self.now, entry, slots) {
            Ok(displaced) => {
                if let Some(entry) = displaced {
                    self.drop_queued(entry.item, Refusal::Displaced);
                }
            }
            Err((why, entry)) => self.drop_queued(entry.item, why),
        }
    }

    /// Handles an attempt that the queue dropped. A dropped hedge does not refuse the request, because
    /// its first attempt is running.
    fn drop_queued(&mut self, queued: QueuedAttempt, why: Refusal) {
        if queued.hedge {
            let Request { pool_vm, pool, .. } = self.requests[queued.request as usize];
            let budget = &mut self.vms[pool_vm].services[pool].budget;
            budget.refund(RetryReason::Hedge);
        } else if self.requests[queued.request as usize].pool_vm
            != self.requests[queued.request as usize].vm
        {
            self.send_back(queued.request, why);
        } else {
            self.release_connection(queued.request);
            self.refuse(queued.request, why);
        }
    }

    fn tick(&mut self) {
        if !self.active() {
            return;
        }
        self.events.push(self.now + TICK, Event::Tick);
        if self.scenario.policy == Policy::RoundRobin {
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
            for service in 0..self.vms[vm].services.len() {
                self.maintain_loans(vm, service);
                let service_state = &mut self.vms[vm].services[service];
                for entry in service_state.queue.expire(self.now) {
                    self.drop_queued(entry.item, Refusal::Expired);
                }
                self.start_waiting(vm, service);
            }
        }
    }

    fn measure_servers(&mut self) {
        if !self.active() {
            return;
        }
        self.events
            .push(self.now + REPORT_INTERVAL, Event::MeasureServers);
        for (service, servers) in self.servers.iter().enumerate() {
            for (i, server) in servers.iter().enumerate() {
                let report = Event::ReportArrival(service, i, server.busy, self.now);
                self.events.push(self.now + REPORT_DELAY, report);
            }
        }
    }

    fn receive_report(&mut self, service: usize, server: usize, busy: u32, measured: Duration) {
        let slots = self.servers[service][server].slots;
        for vm in &mut self.vms {
            let service_state = &mut vm.services[service];
            let report = LoadReport {
                measured_at: measured,
                busy,
                slots,
            };
            service_state
                .selector
                .set_report(&service_state.servers[server], report);
        }
    }
}

/// Draws an exponentially distributed service time, which is multiplied for stragglers.
fn draw_service_time(mean_service_time: Duration, rng: &mut fastrand::Rng) -> Duration {
    let time = mean_service_time.mul_f64(-(1.0 - rng.f64()).ln());
    if rng.f64() < STRAGGLER_SHARE {
        time.mul_f64(STRAGGLER_FACTOR)
    } else {
        time
    }
}
