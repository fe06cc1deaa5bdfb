//! Discrete-event simulation of regions: pools, servers with an LRU cache, and callers.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use dispatch::{Decision, LoadReport, Outcome, Pool, PoolSettings};
use fastrand::Rng;

use crate::common::{REQUESTER, ms, pool, request, server};

/// Time between pool reports to other regions, as between entry VMs.
const REPORT_PERIOD: Duration = Duration::from_millis(100);
/// Time between scheduling passes for queued requests.
const SCHEDULE_PERIOD: Duration = Duration::from_millis(20);

pub struct Region {
    pub servers: usize,
    /// Requests per second of its callers, by simulated time in seconds.
    pub rate: fn(f64) -> f64,
}

/// One service in several regions.
pub struct Simulation {
    pub regions: Vec<Region>,
    pub slots: u32,
    /// Objects that a server caches.
    pub cache_capacity: usize,
    /// Number of objects, all requested equally often.
    pub objects: u64,
    pub hit_time: Duration,
    pub miss_time: Duration,
    pub target: Duration,
    pub deadline: Duration,
    /// Round-trip time between regions.
    pub round_trip: Duration,
    pub max_shift: f64,
    /// Largest fraction by which other load on the server's host slows requests down; changes ten
    /// times a second.
    pub slowdown: f64,
    /// Second at which all entry VMs lose their state; requests in flight are lost.
    pub restart: Option<u64>,
    pub seconds: u64,
}

/// A request and its result.
#[derive(Clone, Debug)]
pub struct Request {
    pub region: usize,
    pub arrived: Duration,
    object: u64,
    /// Region in which it ran.
    pub ran: Option<usize>,
    /// Whether the server had cached its object.
    pub cache_hit: bool,
    /// Time until the response.
    pub took: Option<Duration>,
    forwarded: bool,
}

enum Event {
    Arrival(usize),
    /// A request arrives at the pool of a region, from a caller or another region.
    Submit(usize, u64),
    End(usize, u64, usize, Duration),
    Report,
    Schedule,
    Restart,
}

struct World<'a> {
    cfg: &'a Simulation,
    pools: Vec<Pool>,
    caches: Vec<Vec<VecDeque<u64>>>,
    /// Slowdown of each server, in percent of the normal service time.
    slowdowns: Vec<Vec<u32>>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    pending: HashMap<u64, Event>,
    event_id: u64,
    rng: Rng,
}

/// Runs a simulation; the same seed gives the same result.
pub fn run(cfg: &Simulation, seed: u64) -> Vec<Request> {
    let mut world = World {
        cfg,
        pools: pools(cfg),
        caches: Vec::new(),
        slowdowns: Vec::new(),
        requests: Vec::new(),
        events: BinaryHeap::new(),
        pending: HashMap::new(),
        event_id: 0,
        rng: Rng::with_seed(seed),
    };
    for (r, region) in cfg.regions.iter().enumerate() {
        world.caches.push(vec![VecDeque::new(); region.servers]);
        world.slowdowns.push(vec![100; region.servers]);
        world.schedule_event(Duration::ZERO, Event::Arrival(r));
    }
    world.schedule_event(Duration::ZERO, Event::Report);
    world.schedule_event(Duration::ZERO, Event::Schedule);
    if let Some(at) = cfg.restart {
        world.schedule_event(Duration::from_secs(at), Event::Restart);
    }
    let end = Duration::from_secs(cfg.seconds);
    while let Some(Reverse((now, event_id))) = world.events.pop() {
        if now > end {
            break;
        }
        if let Some(event) = world.pending.remove(&event_id) {
            world.handle(&event, now);
        }
    }
    world.requests
}

/// Pools in the state after a start of the entry VMs.
fn pools(cfg: &Simulation) -> Vec<Pool> {
    let settings = PoolSettings {
        max_shift: cfg.max_shift,
        ..PoolSettings::default()
    };
    let regions = cfg.regions.iter().enumerate();
    let pools = regions.map(|(r, region)| {
        let servers: Vec<_> = (0..region.servers)
            .map(|i| server(&format!("{r}-{i}"), cfg.slots))
            .collect();
        pool(&servers, settings.clone())
    });
    pools.collect()
}

fn region_id(region: usize) -> Box<str> {
    region.to_string().into()
}

impl World<'_> {
    fn schedule_event(&mut self, at: Duration, event: Event) {
        self.event_id += 1;
        self.pending.insert(self.event_id, event);
        self.events.push(Reverse((at, self.event_id)));
    }

    fn handle(&mut self, event: &Event, now: Duration) {
        match *event {
            Event::Arrival(region) => self.arrive(region, now),
            Event::Submit(region, number) => self.submit(region, number, now),
            Event::End(region, number, server, started) => {
                let request = &mut self.requests[number as usize];
                let back = if request.region == region {
                    Duration::ZERO
                } else {
                    self.cfg.round_trip / 2
                };
                request.took = Some((now + back).saturating_sub(request.arrived));
                let outcome = Outcome::Answered(now.saturating_sub(started));
                let load = LoadReport {
                    running: 0,
                    waiting: 0,
                    slots: self.cfg.slots,
                    slowdown: Some(self.slowdowns[region][server]),
                };
                self.pools[region].end((REQUESTER, number), outcome, Some(load), now);
                self.schedule(region, now);
            }
            Event::Report => {
                for percent in self.slowdowns.iter_mut().flatten() {
                    let slowed = self.rng.f64().powi(3) * self.cfg.slowdown;
                    *percent = ((1.0 + slowed) * 100.0) as u32;
                }
                let snapshots: Vec<_> = self.pools.iter_mut().map(|p| p.snapshot(now)).collect();
                for (to, pool) in self.pools.iter_mut().enumerate() {
                    for (from, snapshot) in snapshots.iter().enumerate().filter(|(f, _)| *f != to) {
                        pool.update_remote(region_id(from), *snapshot, self.cfg.round_trip, now);
                    }
                }
                self.schedule_event(now + REPORT_PERIOD, Event::Report);
            }
            Event::Schedule => {
                for region in 0..self.pools.len() {
                    self.schedule(region, now);
                }
                self.schedule_event(now + SCHEDULE_PERIOD, Event::Schedule);
            }
            Event::Restart => {
                self.pools = pools(self.cfg);
                let lost = |e: &Event| matches!(e, Event::Submit(..) | Event::End(..));
                self.pending.retain(|_, e| !lost(e));
            }
        }
    }

    fn arrive(&mut self, region: usize, now: Duration) {
        let object = self.rng.u64(..self.cfg.objects);
        let number = self.requests.len() as u64;
        self.requests.push(Request {
            region,
            arrived: now,
            object: object.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            ran: None,
            cache_hit: false,
            took: None,
            forwarded: false,
        });
        self.submit(region, number, now);
        let rate = (self.cfg.regions[region].rate)(now.as_secs_f64());
        let gap = -(1.0 - self.rng.f64()).ln() / rate;
        self.schedule_event(now + Duration::from_secs_f64(gap), Event::Arrival(region));
    }

    fn submit(&mut self, region: usize, number: u64, now: Duration) {
        let pending = &self.requests[number as usize];
        let waited = now.saturating_sub(pending.arrived);
        let mut admission = request(number);
        admission.target_left = self.cfg.target.saturating_sub(waited);
        admission.deadline_left = self.cfg.deadline.saturating_sub(waited);
        admission.waited = waited;
        admission.object = Some(pending.object);
        if !pending.forwarded {
            let others = (0..self.pools.len()).filter(|r| *r != region);
            admission.forward_regions = others.map(region_id).collect();
        }
        self.pools[region].submit(admission, now);
        self.schedule(region, now);
    }

    fn schedule(&mut self, region: usize, now: Duration) {
        for ((_, number), decision) in self.pools[region].schedule(now) {
            match decision {
                Decision::Grant(grant) => {
                    let (_, server) = grant.server.split_once('-').expect("a server's name");
                    let server: usize = server.parse().expect("a number");
                    let cached = &mut self.caches[region][server];
                    let request = &mut self.requests[number as usize];
                    let at = cached.iter().position(|o| *o == request.object);
                    match at {
                        Some(at) => drop(cached.remove(at)),
                        None if cached.len() >= self.cfg.cache_capacity => drop(cached.pop_front()),
                        None => {}
                    }
                    cached.push_back(request.object);
                    request.ran = Some(region);
                    request.cache_hit = at.is_some();
                    let base = if request.cache_hit {
                        self.cfg.hit_time
                    } else {
                        self.cfg.miss_time
                    };
                    let slowdown = f64::from(self.slowdowns[region][server]) / 100.0;
                    let took = base.mul_f64(slowdown * (0.8 + 0.4 * self.rng.f64()));
                    self.schedule_event(now + took, Event::End(region, number, server, now));
                }
                Decision::Forward(to) => {
                    self.requests[number as usize].forwarded = true;
                    let to = to.parse().expect("a region's number");
                    self.schedule_event(now + self.cfg.round_trip / 2, Event::Submit(to, number));
                }
                Decision::Refuse { .. } => {
                    // A request that another region refuses is returned to its own region once.
                    let request = &self.requests[number as usize];
                    if request.region != region {
                        let home = request.region;
                        self.schedule_event(
                            now + self.cfg.round_trip / 2,
                            Event::Submit(home, number),
                        );
                    }
                }
            }
        }
    }
}

/// Results as shares of the requests that arrived in a period.
#[derive(Debug)]
pub struct Shares {
    pub hit_rate: f64,
    pub on_time: f64,
    /// Got no response.
    pub unanswered: f64,
    /// Ran in another region.
    pub moved: f64,
}

/// Returns the results for the requests of one region, or of all, that arrived between two seconds.
pub fn shares(
    requests: &[Request],
    region: Option<usize>,
    target: Duration,
    seconds: std::ops::Range<u64>,
) -> Shares {
    let period = ms(seconds.start * 1000)..ms(seconds.end * 1000);
    let chosen: Vec<&Request> = requests
        .iter()
        .filter(|r| region.is_none_or(|wanted| r.region == wanted) && period.contains(&r.arrived))
        .collect();
    let share = |f: &dyn Fn(&Request) -> bool| {
        chosen.iter().filter(|r| f(r)).count() as f64 / chosen.len().max(1) as f64
    };
    Shares {
        hit_rate: share(&|r| r.cache_hit),
        on_time: share(&|r| r.took.is_some_and(|t| t <= target)),
        unanswered: share(&|r| r.took.is_none()),
        moved: share(&|r| r.ran.is_some_and(|ran| ran != r.region)),
    }
}
