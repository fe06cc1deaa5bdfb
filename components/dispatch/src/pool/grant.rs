//! Which server runs a request, and when a request is refused.

use std::time::Duration;

use super::{AskId, Decision, Grant, Held, Pool, RefuseReason};
use crate::pool::GRANT_SLACK;
use crate::queue::Waiting;

/// Weight of an object's order of servers against their speed.
const ORDER_WEIGHT: f64 = 0.5;
/// Shortest time after which a refused caller is asked to come back.
const SHORTEST_RETRY: Duration = Duration::from_millis(100);
/// Longest time after which a refused caller is asked to come back.
const LONGEST_RETRY: Duration = Duration::from_secs(2);
/// Time after a takeover without requests to cold servers: the window of their limit, in which the
/// former keeper may have used it up.
const TAKEOVER: Duration = Duration::from_millis(1100);

impl Pool {
    pub(super) fn grant(&mut self, waiting: &Waiting, now: Duration) -> Option<(AskId, Decision)> {
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
        let no_cold = ask.stopgap || self.isolated || now < self.kept_since + TAKEOVER;
        let cfg = &self.cfg;
        let warmth = &self.warmth;
        let best = self
            .servers
            .values_mut()
            .filter(|s| !ask.avoid.contains(&s.server.id))
            .filter_map(|s| {
                let free = s.usable(now, cfg) && !(no_cold && s.cold(now));
                free.then(|| {
                    let warm = ask
                        .object
                        .is_some_and(|o| warmth.is_warm(s.recent.depth(o)));
                    let expected = warmth.expected(warm).mul_f64(s.slowness(now, cfg));
                    let mut time = expected.mul_f64(1.0 + ORDER_WEIGHT * s.order(ask.object));
                    if s.server.domain != ask.domain {
                        time += cfg.cross_domain_cost;
                    }
                    (time, warm, expected, s.server.id.clone())
                })
            })
            .min_by_key(|(time, ..)| *time);
        let (_, warm, expected, id) = best?;
        if ask.object.is_some() && !warm && self.worth_waiting(waiting, now) {
            return None;
        }
        let best = self.servers.get_mut(&id)?;
        let depth = best.admit(now, ask.object);
        if !ask.regions.is_empty() {
            self.shift.record(waiting.wanted.as_ref(), None, now);
        }
        let grant = Grant {
            server: best.server.id.clone(),
            address: best.server.address,
            cold: best.cold(now),
            expected,
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

    /// Tells whether a request is better off waiting for a busy server that holds its object warm
    /// than running without warm data.
    pub(super) fn worth_waiting(&self, waiting: &Waiting, now: Duration) -> bool {
        let ask = &waiting.ask;
        let saved = self
            .warmth
            .expected(false)
            .saturating_sub(self.warmth.expected(true));
        if now.saturating_sub(waiting.since) >= saved.mul_f64(self.cfg.warm_wait) {
            return false;
        }
        self.servers.values().any(|s| {
            let warm = ask
                .object
                .is_some_and(|o| self.warmth.is_warm(s.recent.depth(o)));
            warm && s.in_use(now)
                && s.in_flight >= s.server.slots
                && !ask.avoid.contains(&s.server.id)
        })
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
