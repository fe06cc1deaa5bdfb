//! Simulated regions: pools, servers that keep the objects that they handled last, and callers.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use dispatch::{Decision, Load, Outcome, Pool, PoolSettings};
use fastrand::Rng;

use crate::common::{ASKER, ask, ms, pool, server};

/// Time between reports of pools, as between entry VMs.
const REPORT: Duration = Duration::from_millis(100);
/// Time between decisions about what waits.
const TICK: Duration = Duration::from_millis(20);

/// A region.
pub struct Region {
    pub servers: usize,
    /// Requests a second of its callers at a time in seconds.
    pub rate: fn(f64) -> f64,
}

/// One service in some regions.
pub struct Simulation {
    pub regions: Vec<Region>,
    pub slots: u32,
    /// Objects that a server keeps.
    pub kept: usize,
    /// Objects that callers ask for, all equally often.
    pub objects: u64,
    pub warm: Duration,
    pub cold: Duration,
    pub target: Duration,
    pub deadline: Duration,
    /// Time from one region to another and back.
    pub round_trip: Duration,
    pub max_shift: f64,
    /// Largest part by which work is slowed down by neighbours of a server, changing ten times a
    /// second.
    pub slowdown: f64,
    /// Second at which all entry VMs lose what they know; requests in flight are lost.
    pub restart: Option<u64>,
    pub seconds: u64,
}

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Region of the caller.
    pub region: usize,
    pub arrived: Duration,
    object: u64,
    /// Region in which it ran.
    pub ran: Option<usize>,
    /// Whether the server had its object.
    pub warm: bool,
    /// Time until the answer.
    pub took: Option<Duration>,
    passed_on: bool,
}

enum Event {
    Arrival(usize),
    /// A request comes to the pool of a region, from its caller or from another region.
    Ask(usize, u64),
    End(usize, u64, usize, Duration),
    Report,
    Tick,
    Restart,
}

struct World<'a> {
    cfg: &'a Simulation,
    pools: Vec<Pool>,
    kept: Vec<Vec<VecDeque<u64>>>,
    /// Slowdown of each server in percent.
    slowdowns: Vec<Vec<u32>>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    pending: HashMap<u64, Event>,
    key: u64,
    rng: Rng,
}

/// Runs a simulation; the same seed gives the same result.
pub fn run(cfg: &Simulation, seed: u64) -> Vec<Request> {
    let mut world = World {
        cfg,
        pools: pools(cfg),
        kept: Vec::new(),
        slowdowns: Vec::new(),
        requests: Vec::new(),
        events: BinaryHeap::new(),
        pending: HashMap::new(),
        key: 0,
        rng: Rng::with_seed(seed),
    };
    for (r, region) in cfg.regions.iter().enumerate() {
        world.kept.push(vec![VecDeque::new(); region.servers]);
        world.slowdowns.push(vec![100; region.servers]);
        world.push(Duration::ZERO, Event::Arrival(r));
    }
    world.push(Duration::ZERO, Event::Report);
    world.push(Duration::ZERO, Event::Tick);
    if let Some(at) = cfg.restart {
        world.push(Duration::from_secs(at), Event::Restart);
    }
    let end = Duration::from_secs(cfg.seconds);
    while let Some(Reverse((now, key))) = world.events.pop() {
        if now > end {
            break;
        }
        if let Some(event) = world.pending.remove(&key) {
            world.handle(&event, now);
        }
    }
    world.requests
}

/// Pools as entry VMs have them at their start.
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

fn name(region: usize) -> Box<str> {
    region.to_string().into()
}

impl World<'_> {
    fn push(&mut self, at: Duration, event: Event) {
        self.key += 1;
        self.pending.insert(self.key, event);
        self.events.push(Reverse((at, self.key)));
    }

    fn handle(&mut self, event: &Event, now: Duration) {
        match *event {
            Event::Arrival(region) => self.arrive(region, now),
            Event::Ask(region, number) => self.ask(region, number, now),
            Event::End(region, number, server, started) => {
                let request = &mut self.requests[number as usize];
                let back = if request.region == region {
                    Duration::ZERO
                } else {
                    self.cfg.round_trip / 2
                };
                request.took = Some((now + back).saturating_sub(request.arrived));
                let outcome = Outcome::Answered(now.saturating_sub(started));
                let load = Load {
                    running: 0,
                    waiting: 0,
                    slots: self.cfg.slots,
                    slowdown: Some(self.slowdowns[region][server]),
                };
                self.pools[region].end((ASKER, number), outcome, Some(load), now);
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
                        pool.note_remote(name(from), *snapshot, self.cfg.round_trip, now);
                    }
                }
                self.push(now + REPORT, Event::Report);
            }
            Event::Tick => {
                for region in 0..self.pools.len() {
                    self.schedule(region, now);
                }
                self.push(now + TICK, Event::Tick);
            }
            Event::Restart => {
                self.pools = pools(self.cfg);
                let lost = |e: &Event| matches!(e, Event::Ask(..) | Event::End(..));
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
            warm: false,
            took: None,
            passed_on: false,
        });
        self.ask(region, number, now);
        let rate = (self.cfg.regions[region].rate)(now.as_secs_f64());
        let gap = -(1.0 - self.rng.f64()).ln() / rate;
        self.push(now + Duration::from_secs_f64(gap), Event::Arrival(region));
    }

    fn ask(&mut self, region: usize, number: u64, now: Duration) {
        let request = &self.requests[number as usize];
        let waited = now.saturating_sub(request.arrived);
        let mut asked = ask(number);
        asked.target_left = self.cfg.target.saturating_sub(waited);
        asked.deadline_left = self.cfg.deadline.saturating_sub(waited);
        asked.waited = waited;
        asked.object = Some(request.object);
        if !request.passed_on {
            let others = (0..self.pools.len()).filter(|r| *r != region);
            asked.regions = others.map(name).collect();
        }
        self.pools[region].ask(asked, now);
        self.schedule(region, now);
    }

    fn schedule(&mut self, region: usize, now: Duration) {
        for ((_, number), decision) in self.pools[region].schedule(now) {
            match decision {
                Decision::Grant(grant) => {
                    let (_, server) = grant.server.split_once('-').expect("a server's name");
                    let server: usize = server.parse().expect("a number");
                    let kept = &mut self.kept[region][server];
                    let request = &mut self.requests[number as usize];
                    let at = kept.iter().position(|o| *o == request.object);
                    match at {
                        Some(at) => drop(kept.remove(at)),
                        None if kept.len() >= self.cfg.kept => drop(kept.pop_front()),
                        None => {}
                    }
                    kept.push_back(request.object);
                    request.ran = Some(region);
                    request.warm = at.is_some();
                    let usual = if request.warm {
                        self.cfg.warm
                    } else {
                        self.cfg.cold
                    };
                    let slowdown = f64::from(self.slowdowns[region][server]) / 100.0;
                    let took = usual.mul_f64(slowdown * (0.8 + 0.4 * self.rng.f64()));
                    self.push(now + took, Event::End(region, number, server, now));
                }
                Decision::Forward(to) => {
                    self.requests[number as usize].passed_on = true;
                    let to = to.parse().expect("a region's number");
                    self.push(now + self.cfg.round_trip / 2, Event::Ask(to, number));
                }
                Decision::Refuse { .. } => {
                    // A request that another region refuses comes back once.
                    let request = &self.requests[number as usize];
                    if request.region != region {
                        let home = request.region;
                        self.push(now + self.cfg.round_trip / 2, Event::Ask(home, number));
                    }
                }
            }
        }
    }
}

/// Shares of the requests that arrived in a period.
#[derive(Debug)]
pub struct Shares {
    pub warm: f64,
    pub on_time: f64,
    /// Got no answer.
    pub unserved: f64,
    /// Ran in another region.
    pub moved: f64,
}

/// Returns the shares of the requests of a region, or of all, between two seconds.
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
        warm: share(&|r| r.warm),
        on_time: share(&|r| r.took.is_some_and(|t| t <= target)),
        unserved: share(&|r| r.took.is_none()),
        moved: share(&|r| r.ran.is_some_and(|ran| ran != r.region)),
    }
}
