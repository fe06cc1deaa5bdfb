//! Choice of the backend server for one request, among the servers of one service in the domain.
//!
//! Own in-flight requests per usable slot come first. Latency comes second: a server whose own
//! latency is far above the median of its peers is suspended and tried again with single
//! requests. Load reports from servers are late, so they only count as a hint.

use std::collections::BTreeMap;
use std::time::Duration;

use config::ServerId;

/// Largest multiple of the median that one sample counts for, so that a single straggler does
/// not suspend a server.
const SAMPLE_CAP: f64 = 6.0;

/// Weight of the load hint against own in-flight requests.
const HINT_WEIGHT: f64 = 0.5;

/// Settings of the choice.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time in which a sample loses most of its weight in the average.
    pub average_time: Duration,
    /// The same for the peak-sensitive part, which jumps to each higher sample.
    pub peak_time: Duration,
    /// Multiple of the median of the peers above which a server is suspended.
    pub suspend_factor: f64,
    /// Multiple below which a suspended server is used again.
    pub resume_factor: f64,
    /// Weight of a latency of twice the median against the in-flight requests per slot.
    pub latency_weight: f64,
    /// Largest share of the servers that may be suspended (0 to 1).
    pub max_suspended: f64,
    /// Time from a suspension to the first trial request; doubles with each slow trial.
    pub trial_interval: Duration,
    /// Longest time between trial requests.
    pub max_trial_interval: Duration,
    /// Failures and refusals in a row after which a server is suspended.
    pub max_failures: u32,
    /// Age at which a load report has lost half of its weight.
    pub hint_half_life: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            average_time: Duration::from_secs(2),
            peak_time: Duration::from_millis(200),
            suspend_factor: 3.0,
            resume_factor: 1.5,
            latency_weight: 0.5,
            max_suspended: 0.5,
            trial_interval: Duration::from_secs(1),
            max_trial_interval: Duration::from_secs(4),
            max_failures: 3,
            hint_half_life: Duration::from_millis(500),
        }
    }
}

/// Whether a server may get new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Takes new work.
    #[default]
    Ready,
    /// Not ready yet.
    Starting,
    /// Leaving or being drained.
    Leaving,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response.
    Answered,
    /// No connection, a broken response or a timeout.
    Failed,
    /// The server refused the request as not run.
    Shed,
    /// Cancelled by this VM, for instance because a hedge won.
    Cancelled,
}

/// What a server says about its own load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// When it was measured.
    pub measured: Duration,
    /// Requests being served.
    pub busy: u32,
    /// Requests that it serves at once.
    pub slots: u32,
}

/// Slots of one server that this VM may use now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Own part and borrowed slots.
    pub slots: u32,
    /// Of these, free.
    pub free: u32,
}

/// Counters of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Attempts started.
    pub started: u64,
    /// Complete responses.
    pub answered: u64,
    /// Failures.
    pub failed: u64,
    /// Refusals by the server.
    pub shed: u64,
    /// Suspensions.
    pub suspended: u64,
    /// Trial requests to the suspended server.
    pub trials: u64,
}

/// A suspended server.
#[derive(Clone, Copy, Debug)]
struct Suspension {
    /// Earliest time of the next trial request.
    next_trial: Duration,
    /// Time to the trial after that.
    interval: Duration,
}

/// What this VM knows about a server.
#[derive(Clone, Debug, Default)]
struct Server {
    state: State,
    in_flight: u32,
    average: Option<f64>,
    peak: f64,
    updated: Duration,
    failures: u32,
    suspension: Option<Suspension>,
    report: Option<LoadReport>,
    counts: Counts,
}

impl Server {
    /// Average and decayed peak at a time, in seconds.
    fn latency(&self, now: Duration, settings: &Settings) -> Option<f64> {
        let average = self.average?;
        let peak = average + (self.peak - average).max(0.0) * self.decay(now, settings.peak_time);
        // The peak counts for a part only: alone it would follow every straggler.
        Some(average + 0.25 * (peak - average))
    }

    /// Takes new work beyond trial requests.
    fn is_open(&self) -> bool {
        self.state == State::Ready && self.suspension.is_none()
    }

    fn trial_due(&self, now: Duration) -> bool {
        let due = |s: &Suspension| self.in_flight == 0 && now >= s.next_trial;
        self.suspension.as_ref().is_some_and(due)
    }

    fn decay(&self, now: Duration, time: Duration) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        (-age / time.as_secs_f64().max(1e-6)).exp()
    }

    fn record(&mut self, now: Duration, secs: f64, settings: &Settings) {
        let average = *self.average.get_or_insert(secs);
        let old = self.decay(now, settings.average_time);
        // Lower bound: many samples at once do not vanish. Upper bound: one straggler at
        // `SAMPLE_CAP` after a pause stays under `suspend_factor`.
        let weight = (1.0 - old).clamp(0.05, 0.25);
        let peak = average + (self.peak - average).max(0.0) * self.decay(now, settings.peak_time);
        self.average = Some(average + (secs - average) * weight);
        self.peak = peak.max(secs);
        self.updated = now;
    }

    /// After a fast trial, the next one follows at once, so that a server that has recovered is
    /// back after a few single requests.
    fn shorten_trials(
        &mut self,
        now: Duration,
        secs: f64,
        median: Option<f64>,
        settings: &Settings,
    ) {
        if let Some(suspension) = &mut self.suspension
            && median.is_some_and(|m| secs <= m * settings.resume_factor)
        {
            suspension.next_trial = now;
            suspension.interval = settings.trial_interval;
        }
    }

    /// Share of the server that its last report says is busy, discounted by the report's age.
    fn hint(&self, now: Duration, settings: &Settings) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        let age = now.saturating_sub(report.measured).as_secs_f64();
        let weight = 0.5_f64.powf(age / settings.hint_half_life.as_secs_f64().max(1e-6));
        weight * f64::from(report.busy) / f64::from(report.slots.max(1))
    }
}

/// Chooses among the servers of one service in the domain.
#[derive(Clone, Debug)]
pub struct Selector {
    settings: Settings,
    servers: BTreeMap<ServerId, Server>,
}

impl Selector {
    /// Creates a selector without servers.
    pub fn new(settings: Settings) -> Self {
        Selector {
            settings,
            servers: BTreeMap::new(),
        }
    }

    /// Sets the servers of the configuration in force; known ones keep their measurements.
    pub fn set_servers(&mut self, ids: impl IntoIterator<Item = ServerId>) {
        let mut old = std::mem::take(&mut self.servers);
        let kept = ids.into_iter().map(|id| {
            let server = old.remove(&id).unwrap_or_default();
            (id, server)
        });
        self.servers = kept.collect();
    }

    /// Sets the state of a server, from its health response or a drain in the configuration.
    pub fn set_state(&mut self, id: &ServerId, state: State) {
        if let Some(server) = self.servers.get_mut(id) {
            server.state = state;
        }
    }

    /// Records a load report unless a newer one is known.
    pub fn set_report(&mut self, id: &ServerId, report: LoadReport) {
        if let Some(server) = self.servers.get_mut(id)
            && server.report.is_none_or(|r| r.measured <= report.measured)
        {
            server.report = Some(report);
        }
    }

    /// Chooses a server for a new attempt, or `None` if no suitable one has a free slot.
    ///
    /// `share` gives the slots of this VM at a server. Servers in `avoid` are taken only if there
    /// is no other. `may_try` says that the request may go to a suspended server as a trial.
    pub fn choose(
        &self,
        now: Duration,
        share: impl Fn(&ServerId) -> Share,
        avoid: &[ServerId],
        may_try: bool,
        rng: &mut fastrand::Rng,
    ) -> Option<ServerId> {
        let median = self.median(now);
        // If only suspended servers are left, any of them is better than none.
        let suspend = self.servers.values().any(Server::is_open);
        let ready = |(_, s): &(&ServerId, &Server)| s.state == State::Ready;
        let mut best: Option<(bool, f64, f64, &ServerId)> = None;
        for (id, server) in self.servers.iter().filter(ready) {
            let slots = share(id);
            if slots.free == 0 {
                continue;
            }
            let avoided = avoid.contains(id);
            if suspend && server.suspension.is_some() {
                if may_try && !avoided && server.trial_due(now) {
                    return Some(id.clone());
                }
                continue;
            }
            let candidate = (
                avoided,
                self.score(now, server, slots, median),
                rng.f64(),
                id,
            );
            if best.as_ref().is_none_or(|b| candidate < *b) {
                best = Some(candidate);
            }
        }
        best.map(|(.., id)| id.clone())
    }

    /// Lower is better.
    fn score(&self, now: Duration, server: &Server, share: Share, median: Option<f64>) -> f64 {
        let in_use = share.slots.saturating_sub(share.free);
        let own = f64::from(in_use + 1) / f64::from(share.slots.max(1));
        let latency = server.latency(now, &self.settings);
        let relative = match (latency, median) {
            (Some(latency), Some(median)) if median > 0.0 => latency / median,
            _ => 1.0,
        };
        let slower = self.settings.latency_weight * (relative - 1.0).clamp(0.0, SAMPLE_CAP);
        own + slower + HINT_WEIGHT * server.hint(now, &self.settings)
    }

    /// Records the start of an attempt.
    pub fn started(&mut self, now: Duration, id: &ServerId) {
        let settings = &self.settings;
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        server.in_flight += 1;
        server.counts.started += 1;
        if let Some(suspension) = &mut server.suspension {
            server.counts.trials += 1;
            let interval = suspension.interval;
            suspension.next_trial = now + interval;
            suspension.interval = (interval * 2).min(settings.max_trial_interval);
        }
    }

    /// Records the end of an attempt that took `latency`.
    pub fn finished(&mut self, now: Duration, id: &ServerId, latency: Duration, outcome: Outcome) {
        let median = self.median(now);
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        server.in_flight = server.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered => {
                server.counts.answered += 1;
                server.failures = 0;
                server.shorten_trials(now, latency.as_secs_f64(), median, &self.settings);
            }
            Outcome::Failed => {
                server.counts.failed += 1;
                server.failures += 1;
            }
            // A server that refuses quickly has few requests in flight and would attract more.
            Outcome::Shed => {
                server.counts.shed += 1;
                server.failures += 1;
            }
            Outcome::Cancelled => {}
        }
        if matches!(outcome, Outcome::Answered | Outcome::Cancelled) {
            self.record(now, id, latency.as_secs_f64(), outcome, median);
        }
        self.review(now, id);
    }

    /// An attempt is still running after `elapsed`; the server is at least that slow.
    pub fn overdue(&mut self, now: Duration, id: &ServerId, elapsed: Duration) {
        let median = self.median(now);
        self.record(now, id, elapsed.as_secs_f64(), Outcome::Cancelled, median);
        self.review(now, id);
    }

    fn record(
        &mut self,
        now: Duration,
        id: &ServerId,
        secs: f64,
        outcome: Outcome,
        median: Option<f64>,
    ) {
        let settings = &self.settings;
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        // An unfinished attempt only shows that the latency is at least this.
        let known = server.average.unwrap_or(0.0);
        if outcome == Outcome::Cancelled && secs <= known {
            return;
        }
        let cap = median.map_or(f64::INFINITY, |m| m * SAMPLE_CAP);
        server.record(now, secs.min(cap), settings);
    }

    /// Suspends or resumes a server after a new measurement.
    fn review(&mut self, now: Duration, id: &ServerId) {
        let median = self.median(now).unwrap_or(0.0);
        let ready = self.servers.values().filter(|s| s.state == State::Ready);
        let open = self.servers.values().filter(|s| s.is_open()).count();
        let ready = ready.count();
        let limit = (ready as f64 * self.settings.max_suspended).floor() as usize;
        let may_suspend = open > 1 && ready - open < limit;
        let settings = &self.settings;
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let average = server.average.unwrap_or(0.0);
        let failing = server.failures >= settings.max_failures;
        if server.suspension.is_some() {
            if !failing && server.failures == 0 && average <= median * settings.resume_factor {
                server.suspension = None;
            }
        } else if may_suspend && (failing || average > median * settings.suspend_factor) {
            server.counts.suspended += 1;
            server.suspension = Some(Suspension {
                next_trial: now + settings.trial_interval,
                interval: settings.trial_interval,
            });
        }
    }

    /// Median latency of the servers that may get work, in seconds.
    fn median(&self, now: Duration) -> Option<f64> {
        let ready = self.servers.values().filter(|s| s.state == State::Ready);
        let latencies = ready.filter_map(|s| s.latency(now, &self.settings));
        let mut latencies: Vec<f64> = latencies.collect();
        if latencies.is_empty() {
            return None;
        }
        latencies.sort_by(f64::total_cmp);
        Some(latencies[(latencies.len() - 1) / 2])
    }

    /// Counters of a server.
    pub fn counts(&self, id: &ServerId) -> Counts {
        self.servers.get(id).map(|s| s.counts).unwrap_or_default()
    }

    /// True if the server gets trial requests only.
    pub fn is_suspended(&self, id: &ServerId) -> bool {
        self.servers.get(id).is_some_and(|s| s.suspension.is_some())
    }

    /// Own requests in flight at a server.
    pub fn in_flight(&self, id: &ServerId) -> u32 {
        self.servers.get(id).map_or(0, |s| s.in_flight)
    }
}
