//! Which server runs a request, and when a request is refused.

use std::time::Duration;

use config::ServerId;

use super::{Ask, AskId, Data, Decision, Grant, Held, Pool, RefuseReason};
use crate::pool::GRANT_SLACK;
use crate::queue::Waiting;
use crate::server::Tracked;
use crate::warmth::Warmth;

/// Multiple of the expected service time after which an attempt counts as slow.
const SLOW_FACTOR: f64 = 2.0;
/// Multiple of the service time without warm data before which no attempt counts as slow.
const COLD_SLOW_FACTOR: f64 = 1.3;
/// Weight of an object's order of servers against their speed. High, so that keepers that know nothing
/// of each other choose the same server unless it is slow or full of objects in use.
const ORDER_WEIGHT: f64 = 32.0;
/// Age at which a displaced object counts half.
const DISPLACED_HALF: Duration = Duration::from_secs(1);
/// Shortest time after which a refused caller is asked to come back.
const SHORTEST_RETRY: Duration = Duration::from_millis(100);
/// Longest time after which a refused caller is asked to come back.
const LONGEST_RETRY: Duration = Duration::from_secs(2);
/// Time after a takeover without requests to cold servers: the window of their limit, in which the
/// former keeper may have used it up.
const TAKEOVER: Duration = Duration::from_millis(1100);

/// A server that has a slot for a request.
struct Candidate {
    id: ServerId,
    /// What the request costs there: its time, and that of requests whose data it displaces.
    cost: Duration,
    /// Whether the server holds the object of the request.
    warm: bool,
    /// Whether more than half of the slots are free.
    idle: bool,
}

impl Pool {
    /// Grants a slot, if a suitable server has one and it is not better to wait for another.
    pub(super) fn grant(
        &mut self,
        waiting: &Waiting,
        data: Data,
        now: Duration,
    ) -> Option<(AskId, Decision)> {
        let ask = &waiting.ask;
        if ask.repeat && !self.may_repeat(now) {
            let retry_after = SHORTEST_RETRY;
            let reason = RefuseReason::RetryBudget;
            return Some((
                ask.id,
                Decision::Refuse {
                    reason,
                    retry_after,
                },
            ));
        }
        let Candidate { id, warm, idle, .. } = self.cheapest(ask, now)?;
        let stray = ask.object.is_some() && !warm;
        if stray && (data == Data::Warm || self.worth_waiting(waiting, idle, now)) {
            return None;
        }
        let best = self.servers.get_mut(&id)?;
        let depth = best.admit(now, ask.object);
        let usual = self.warmth.expected(warm).mul_f64(SLOW_FACTOR);
        // A server that has displaced the object after all is not slow.
        let cold = self.warmth.expected(false).mul_f64(COLD_SLOW_FACTOR);
        let slow_after = usual.max(cold).mul_f64(best.slowness(now, &self.cfg));
        if !ask.regions.is_empty() {
            self.shift.record(waiting.wanted.as_ref(), None, now);
        }
        let grant = Grant {
            server: best.server.id.clone(),
            address: best.server.address,
            cold: best.cold(now),
            slow_after,
        };
        let sends = if ask.repeat {
            &mut self.repeats
        } else {
            &mut self.first_sends
        };
        sends.record(now);
        let expires = waiting.deadline_at().max(now) + GRANT_SLACK;
        let held = Held {
            grant: grant.clone(),
            expires,
            sticky: ask.object.is_some(),
            depth,
        };
        self.held.insert(ask.id, held);
        Some((ask.id, Decision::Grant(grant)))
    }

    /// Returns the cheapest server with a free slot.
    fn cheapest(&mut self, ask: &Ask, now: Duration) -> Option<Candidate> {
        let no_cold = ask.stopgap || self.isolated || now < self.kept_since + TAKEOVER;
        let saved = self.saved();
        let (cfg, warmth) = (&self.cfg, &self.warmth);
        let candidate = |s: &mut Tracked| {
            let holds = |o| warmth.is_warm(s.recent.depth(o));
            let warm = ask.object.is_some_and(holds);
            let mut cost = warmth.expected(warm).mul_f64(s.slowness(now, cfg));
            if !warm {
                cost = cost.mul_f64(1.0 + ORDER_WEIGHT * s.order(ask.object));
            }
            if !warm && ask.object.is_some() {
                cost += displacement(s, warmth, saved, now);
            }
            if s.server.domain != ask.domain {
                cost += cfg.cross_domain_cost;
            }
            Candidate {
                id: s.server.id.clone(),
                cost,
                warm,
                idle: s.in_flight * 2 < s.server.slots,
            }
        };
        self.servers
            .values_mut()
            .filter(|s| !ask.avoid.contains(&s.server.id))
            .filter_map(|s| {
                let free = s.usable(now, cfg) && !(no_cold && s.cold(now));
                free.then(|| candidate(s))
            })
            .min_by_key(|c| c.cost)
    }

    /// Time that warm data saves.
    fn saved(&self) -> Duration {
        let cold = self.warmth.expected(false);
        cold.saturating_sub(self.warmth.expected(true))
    }

    /// Tells whether a request is better off waiting for a busy server that holds its object warm
    /// than running without warm data. The longer service time takes slots from others, so after
    /// a while only an idle server is used instead.
    pub(super) fn worth_waiting(&self, waiting: &Waiting, idle: bool, now: Duration) -> bool {
        let ask = &waiting.ask;
        let patient = now.saturating_sub(waiting.since) < self.saved().mul_f64(self.cfg.warm_wait);
        if idle && !patient {
            return false;
        }
        let Some(object) = ask.object else {
            return false;
        };
        let cold = self.warmth.expected(false);
        let warm = self.warmth.expected(true);
        let usable = |s: &&Tracked| {
            s.in_use(now)
                && warm.mul_f64(s.slowness(now, &self.cfg)) < cold
                && !ask.avoid.contains(&s.server.id)
        };
        let holds = |s: &&Tracked| self.warmth.is_warm(s.recent.depth(object));
        let busy = |s: &Tracked| s.in_flight >= s.server.slots;
        if self.servers.values().any(|s| holds(&s)) {
            return self.servers.values().filter(usable).filter(holds).any(busy);
        }
        // A former keeper has probably placed the object at the first server of its order.
        let first = self.servers.values().filter(usable);
        let first = first.min_by(|a, b| a.order(Some(object)).total_cmp(&b.order(Some(object))));
        patient && first.is_some_and(busy)
    }

    pub(super) fn may_repeat(&mut self, now: Duration) -> bool {
        let allowed =
            self.cfg.retry_ratio * self.first_sends.count(now) as f64 + self.cfg.retry_allowance;
        (self.repeats.count(now) as f64) + 1.0 <= allowed
    }

    pub(super) fn refuse(
        &self,
        waiting: &Waiting,
        overloaded: bool,
        length: usize,
        capacity: u32,
        now: Duration,
    ) -> Option<(AskId, Decision)> {
        let ask = &waiting.ask;
        let total = ask.deadline_left + ask.waited;
        let patience = if ask.spare {
            Duration::ZERO
        } else if overloaded {
            let target = ask.target_left + ask.waited;
            target
                .mul_f64(self.cfg.overload_wait)
                .max(total.mul_f64(0.03))
        } else {
            total.mul_f64(self.cfg.normal_wait)
        };
        if waiting.waited(now) < patience {
            return None;
        }
        let usual = self.usual_or_first();
        let drain = usual.mul_f64(length as f64 / f64::from(capacity.max(1)));
        let retry_after = drain.clamp(SHORTEST_RETRY, LONGEST_RETRY);
        let reason = if capacity == 0 {
            RefuseReason::NoServers
        } else {
            RefuseReason::Overloaded
        };
        Some((
            ask.id,
            Decision::Refuse {
                reason,
                retry_after,
            },
        ))
    }
}

/// Cost of displacing an object at a server: the time that its warm data would have saved, the less
/// the longer it has not been asked for.
fn displacement(server: &Tracked, warmth: &Warmth, saved: Duration, now: Duration) -> Duration {
    server
        .recent
        .displaced(warmth.kept(), now)
        .map_or(Duration::ZERO, |age| {
            let half = DISPLACED_HALF.as_secs_f64();
            saved.mul_f64(half / (half + age.as_secs_f64()))
        })
}
