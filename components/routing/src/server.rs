//! Selection of a backend server for one request among the servers of one service in the domain.
//!
//! The main criterion is the number of this VM's in-flight requests per usable slot, the second is
//! latency: a server whose latency is far above the median of its peers is suspended and then
//! tested with single trial requests. Load reports from servers arrive late, so they only carry a
//! weight that decreases with their age.

use std::collections::BTreeMap;
use std::time::Duration;

use config::ServerId;

/// Upper bound of a latency sample as a multiple of the median, so that a single slow response does
/// not suspend a server.
const MAX_SAMPLE_RATIO: f64 = 6.0;

/// Weight of a server's load report relative to this VM's in-flight requests.
const LOAD_REPORT_WEIGHT: f64 = 0.5;

#[derive(Clone, Debug)]
pub struct Settings {
    /// Time constant of the latency average.
    pub average_time_constant: Duration,
    /// Time constant with which the latency peak decays. The peak rises at once to a higher sample.
    pub peak_time_constant: Duration,
    /// A server is suspended above this multiple of the median latency.
    pub suspend_factor: f64,
    /// A suspended server is resumed at or below this multiple of the median latency.
    pub resume_factor: f64,
    /// Score penalty for a latency of twice the median, in in-flight requests per slot.
    pub latency_weight: f64,
    /// Maximum share of the servers that may be suspended, 0 to 1.
    pub max_suspended: f64,
    /// Time from a suspension to the first trial request. It doubles with each slow trial.
    pub trial_interval: Duration,
    /// Maximum time between trial requests.
    pub max_trial_interval: Duration,
    /// Consecutive failures and refusals after which a server is suspended.
    pub max_failures: u32,
    /// Age at which a load report has half of its initial weight.
    pub report_half_life: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            average_time_constant: Duration::from_secs(2),
            peak_time_constant: Duration::from_millis(200),
            suspend_factor: 3.0,
            resume_factor: 1.5,
            latency_weight: 0.5,
            max_suspended: 0.5,
            trial_interval: Duration::from_secs(1),
            max_trial_interval: Duration::from_secs(4),
            max_failures: 3,
            report_half_life: Duration::from_millis(500),
        }
    }
}

/// Whether a server may receive new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Accepts new requests.
    #[default]
    Ready,
    Starting,
    /// Shutting down or drained.
    Leaving,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response was complete.
    Answered,
    /// The connection failed, the response was incomplete or invalid, or the attempt timed out.
    Failed,
    /// The server refused the request without running it.
    Shed,
    /// This VM cancelled the attempt, for instance because a hedged attempt finished first.
    Cancelled,
}

/// Load of a server as reported by itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Time of the measurement by the clock of this process.
    pub measured_at: Duration,
    /// Requests in progress.
    pub busy: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// Slots of one server that this VM may currently use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UsableSlots {
    /// Slots assigned to this VM plus borrowed ones.
    pub total: u32,
    /// Those of them that are free.
    pub free: u32,
}

/// Counters of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub started: u64,
    pub answered: u64,
    pub failed: u64,
    /// Requests that the server refused without running them.
    pub shed: u64,
    pub suspended: u64,
    /// Trial requests sent while the server was suspended.
    pub trials: u64,
}

/// Trial schedule of a suspended server.
#[derive(Clone, Copy, Debug)]
struct Suspension {
    /// Earliest time of the next trial request.
    next_trial: Duration,
    /// Time from the next trial to the one after it.
    interval: Duration,
}

/// State of a server as known to this VM.
#[derive(Clone, Debug, Default)]
struct Server {
    state: State,
    in_flight: u32,
    /// Moving average of the latency in seconds.
    average: Option<f64>,
    /// Latency peak in seconds at `updated_at`.
    peak: f64,
    /// Time of the last latency sample.
    updated_at: Duration,
    /// Consecutive failures and refusals.
    failures: u32,
    suspension: Option<Suspension>,
    report: Option<LoadReport>,
    counts: Counts,
}

impl Server {
    /// Returns the latency estimate in seconds from the average and the decayed peak.
    fn latency(&self, now: Duration, settings: &Settings) -> Option<f64> {
        let average = self.average?;
        let peak =
            average + (self.peak - average).max(0.0) * self.decay(now, settings.peak_time_constant);
        // The peak counts in part only, or the estimate would follow every single slow response.
        Some(average + 0.25 * (peak - average))
    }

    /// Returns whether the server accepts requests other than trials.
    fn is_available(&self) -> bool {
        self.state == State::Ready && self.suspension.is_none()
    }

    fn trial_due(&self, now: Duration) -> bool {
        let due = |s: &Suspension| self.in_flight == 0 && now >= s.next_trial;
        self.suspension.as_ref().is_some_and(due)
    }

    fn decay(&self, now: Duration, time_constant: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        (-age / time_constant.as_secs_f64().max(1e-6)).exp()
    }

    fn record(&mut self, now: Duration, secs: f64, settings: &Settings) {
        let average = *self.average.get_or_insert(secs);
        let decay = self.decay(now, settings.average_time_constant);
        // With the lower bound, samples that arrive at the same time still count. With the upper
        // bound, one slow sample of `MAX_SAMPLE_RATIO` after a pause stays below `suspend_factor`.
        let weight = (1.0 - decay).clamp(0.05, 0.25);
        let peak =
            average + (self.peak - average).max(0.0) * self.decay(now, settings.peak_time_constant);
        self.average = Some(average + (secs - average) * weight);
        self.peak = peak.max(secs);
        self.updated_at = now;
    }

    /// Permits the next trial immediately after a fast one, so that a recovered server is resumed
    /// after a few single requests.
    fn expedite_trial(
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

    /// Returns the utilisation from the last load report, reduced by the age of the report.
    fn reported_load(&self, now: Duration, settings: &Settings) -> f64 {
        let Some(report) = self.report else {
            return 0.0;
        };
        let age = now.saturating_sub(report.measured_at).as_secs_f64();
        let weight = 0.5_f64.powf(age / settings.report_half_life.as_secs_f64().max(1e-6));
        weight * f64::from(report.busy) / f64::from(report.slots.max(1))
    }
}

/// Selects among the servers of one service in the domain.
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

    /// Sets the servers of the configuration in force. Known servers keep their measurements.
    pub fn set_servers(&mut self, ids: impl IntoIterator<Item = ServerId>) {
        let mut previous = std::mem::take(&mut self.servers);
        let servers = ids.into_iter().map(|id| {
            let server = previous.remove(&id).unwrap_or_default();
            (id, server)
        });
        self.servers = servers.collect();
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
            && server
                .report
                .is_none_or(|r| r.measured_at <= report.measured_at)
        {
            server.report = Some(report);
        }
    }

    /// Selects a server for a new attempt, or `None` if no suitable server has a free slot.
    ///
    /// `usable_slots` returns the slots of a server that this VM may use. Servers in `avoid` are
    /// selected only if there is no other. With `allow_trial`, the request may be sent to a
    /// suspended server as a trial.
    pub fn choose(
        &self,
        now: Duration,
        usable_slots: impl Fn(&ServerId) -> UsableSlots,
        avoid: &[ServerId],
        allow_trial: bool,
        rng: &mut fastrand::Rng,
    ) -> Option<ServerId> {
        let median = self.median(now);
        // Suspended servers are used like others if there are no available ones.
        let skip_suspended = self.servers.values().any(Server::is_available);
        let ready = |(_, s): &(&ServerId, &Server)| s.state == State::Ready;
        let mut best: Option<(bool, f64, f64, &ServerId)> = None;
        for (id, server) in self.servers.iter().filter(ready) {
            let slots = usable_slots(id);
            if slots.free == 0 {
                continue;
            }
            let avoided = avoid.contains(id);
            if skip_suspended && server.suspension.is_some() {
                if allow_trial && !avoided && server.trial_due(now) {
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

    /// Returns the score of a server; the lowest one is selected.
    fn score(
        &self,
        now: Duration,
        server: &Server,
        usable: UsableSlots,
        median: Option<f64>,
    ) -> f64 {
        let in_use = usable.total.saturating_sub(usable.free);
        let utilisation = f64::from(in_use + 1) / f64::from(usable.total.max(1));
        let latency = server.latency(now, &self.settings);
        let relative = match (latency, median) {
            (Some(latency), Some(median)) if median > 0.0 => latency / median,
            _ => 1.0,
        };
        let latency_penalty =
            self.settings.latency_weight * (relative - 1.0).clamp(0.0, MAX_SAMPLE_RATIO);
        utilisation
            + latency_penalty
            + LOAD_REPORT_WEIGHT * server.reported_load(now, &self.settings)
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
                server.expedite_trial(now, latency.as_secs_f64(), median, &self.settings);
            }
            Outcome::Failed => {
                server.counts.failed += 1;
                server.failures += 1;
            }
            // A server that refuses quickly has few requests in flight, which would attract more
            // requests if refusals did not count as failures.
            Outcome::Shed => {
                server.counts.shed += 1;
                server.failures += 1;
            }
            Outcome::Cancelled => {}
        }
        if matches!(outcome, Outcome::Answered | Outcome::Cancelled) {
            self.record(now, id, latency.as_secs_f64(), outcome, median);
        }
        self.update_suspension(now, id);
    }

    /// Records that an attempt is still running after `elapsed`, which is a lower bound of its
    /// latency.
    pub fn overdue(&mut self, now: Duration, id: &ServerId, elapsed: Duration) {
        let median = self.median(now);
        self.record(now, id, elapsed.as_secs_f64(), Outcome::Cancelled, median);
        self.update_suspension(now, id);
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
        // The time of an unfinished attempt is only a lower bound of its latency.
        let known = server.average.unwrap_or(0.0);
        if outcome == Outcome::Cancelled && secs <= known {
            return;
        }
        let cap = median.map_or(f64::INFINITY, |m| m * MAX_SAMPLE_RATIO);
        server.record(now, secs.min(cap), settings);
    }

    /// Suspends or resumes a server after a new sample or failure.
    fn update_suspension(&mut self, now: Duration, id: &ServerId) {
        let median = self.median(now).unwrap_or(0.0);
        let ready = self.servers.values().filter(|s| s.state == State::Ready);
        let available = self.servers.values().filter(|s| s.is_available()).count();
        let ready = ready.count();
        let limit = (ready as f64 * self.settings.max_suspended).floor() as usize;
        let may_suspend = available > 1 && ready - available < limit;
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

    /// Returns the median latency of the ready servers in seconds.
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

    pub fn counts(&self, id: &ServerId) -> Counts {
        self.servers.get(id).map(|s| s.counts).unwrap_or_default()
    }

    /// Returns whether the server receives trial requests only.
    pub fn is_suspended(&self, id: &ServerId) -> bool {
        self.servers.get(id).is_some_and(|s| s.suspension.is_some())
    }

    /// Returns the number of this VM's requests in flight at a server.
    pub fn in_flight(&self, id: &ServerId) -> u32 {
        self.servers.get(id).map_or(0, |s| s.in_flight)
    }
}
