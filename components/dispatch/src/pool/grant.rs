//! Server selection for a request, the retry budget, and refusal.

use std::time::Duration;

use config::ServerId;

use super::{
    ActiveGrant, AdmissionRequest, Decision, Grant, Pool, RefuseReason, RequestId, ServerFilter,
};
use crate::cache_model::CacheModel;
use crate::pool::GRANT_GRACE;
use crate::queue::QueuedRequest;
use crate::server::TrackedServer;

/// Multiple of the expected service time after which an attempt counts as slow.
const SLOW_FACTOR: f64 = 2.0;
/// Lower bound for that time, as a multiple of the service time without cached data.
const MISS_SLOW_FACTOR: f64 = 1.3;
/// Weight of the rendezvous hash in the cost of a server. High, so that pool owners without shared
/// state choose the same server for an object unless it is slow or its cache is full of objects in
/// use.
const RENDEZVOUS_WEIGHT: f64 = 32.0;
/// Time since its last use at which evicting an object costs half of the time that its cached data
/// saves.
const EVICTION_HALF_AGE: Duration = Duration::from_secs(1);
/// Lower bound of the retry delay that a refusal suggests.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Upper bound of the retry delay that a refusal suggests.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Time after a change of owner in which cold servers get no requests: the window of their rate
/// limit, which the previous owner may have used up.
const TAKEOVER_COLD_PAUSE: Duration = Duration::from_millis(1100);

/// A server with a free slot for a request.
struct Candidate {
    id: ServerId,
    /// Expected cost of the request there: its service time, and the time that evicting another
    /// object will cost.
    cost: Duration,
    /// Whether the server has the request's object in its cache.
    cache_hit: bool,
    /// Whether more than half of its slots are free.
    mostly_idle: bool,
}

impl Pool {
    /// Grants a slot if a suitable server has a free one and waiting for another server is not
    /// better.
    pub(super) fn grant(
        &mut self,
        queued: &QueuedRequest,
        filter: ServerFilter,
        now: Duration,
    ) -> Option<(RequestId, Decision)> {
        let request = &queued.request;
        if request.retry && !self.retry_budget_allows(now) {
            let retry_after = MIN_RETRY_AFTER;
            let reason = RefuseReason::RetryBudget;
            return Some((
                request.id,
                Decision::Refuse {
                    reason,
                    retry_after,
                },
            ));
        }
        let Candidate {
            id,
            cache_hit,
            mostly_idle,
            ..
        } = self.lowest_cost_server(request, now)?;
        let is_miss = request.object.is_some() && !cache_hit;
        if is_miss
            && (filter == ServerFilter::Cached
                || self.should_wait_for_cached(queued, mostly_idle, now))
        {
            return None;
        }
        let best = self.servers.get_mut(&id)?;
        let reuse_distance = best.admit(now, request.object);
        let expected = self
            .cache_model
            .expected_service_time(cache_hit)
            .mul_f64(SLOW_FACTOR);
        // A server that has evicted the object, contrary to the estimate, is not slow.
        let on_miss = self
            .cache_model
            .expected_service_time(false)
            .mul_f64(MISS_SLOW_FACTOR);
        let slow_after = expected
            .max(on_miss)
            .mul_f64(best.relative_service_time(now, &self.cfg));
        if !request.forward_regions.is_empty() {
            self.shift_limiter
                .record(queued.preferred_region.as_ref(), None, now);
        }
        let grant = Grant {
            server: best.server.id.clone(),
            address: best.server.address,
            cold: best.is_cold(now),
            slow_after,
        };
        let attempts = if request.retry {
            &mut self.retries
        } else {
            &mut self.first_attempts
        };
        attempts.record(now);
        let expires = queued.deadline().max(now) + GRANT_GRACE;
        let active = ActiveGrant {
            grant: grant.clone(),
            expires,
            has_object: request.object.is_some(),
            reuse_distance,
        };
        self.active_grants.insert(request.id, active);
        Some((request.id, Decision::Grant(grant)))
    }

    /// Returns the server with a free slot and the lowest expected cost.
    fn lowest_cost_server(
        &mut self,
        request: &AdmissionRequest,
        now: Duration,
    ) -> Option<Candidate> {
        let exclude_cold =
            request.owner_bypassed || self.isolated || now < self.owned_since + TAKEOVER_COLD_PAUSE;
        let hit_saving = self.hit_saving();
        let (cfg, cache_model) = (&self.cfg, &self.cache_model);
        let candidate = |s: &mut TrackedServer| {
            let caches_object = |o| cache_model.is_cached(s.recent_objects.reuse_distance(o));
            let cache_hit = request.object.is_some_and(caches_object);
            let mut cost = cache_model
                .expected_service_time(cache_hit)
                .mul_f64(s.relative_service_time(now, cfg));
            if !cache_hit {
                cost = cost.mul_f64(1.0 + RENDEZVOUS_WEIGHT * s.rendezvous_hash(request.object));
            }
            if !cache_hit && request.object.is_some() {
                cost += eviction_cost(s, cache_model, hit_saving, now);
            }
            if s.server.domain != request.domain {
                cost += cfg.cross_domain_cost;
            }
            Candidate {
                id: s.server.id.clone(),
                cost,
                cache_hit,
                mostly_idle: s.in_flight * 2 < s.server.slots,
            }
        };
        self.servers
            .values_mut()
            .filter(|s| !request.excluded_servers.contains(&s.server.id))
            .filter_map(|s| {
                let free = s.can_admit(now, cfg) && !(exclude_cold && s.is_cold(now));
                free.then(|| candidate(s))
            })
            .min_by_key(|c| c.cost)
    }

    /// Service time that cached data saves.
    fn hit_saving(&self) -> Duration {
        let miss = self.cache_model.expected_service_time(false);
        miss.saturating_sub(self.cache_model.expected_service_time(true))
    }

    /// Whether a request should wait for a busy server that has its object in the cache instead of
    /// running elsewhere now. The longer service time of a cache miss takes slots from other
    /// requests, so once the wait exceeds its limit only a mostly idle server is used instead.
    pub(super) fn should_wait_for_cached(
        &self,
        queued: &QueuedRequest,
        mostly_idle: bool,
        now: Duration,
    ) -> bool {
        let request = &queued.request;
        let within_cached_wait =
            now.saturating_sub(queued.queued_at) < self.hit_saving().mul_f64(self.cfg.cached_wait);
        if mostly_idle && !within_cached_wait {
            return false;
        }
        let Some(object) = request.object else {
            return false;
        };
        let miss = self.cache_model.expected_service_time(false);
        let hit = self.cache_model.expected_service_time(true);
        let eligible = |s: &&TrackedServer| {
            s.is_eligible(now)
                && hit.mul_f64(s.relative_service_time(now, &self.cfg)) < miss
                && !request.excluded_servers.contains(&s.server.id)
        };
        let caches_object = |s: &&TrackedServer| {
            self.cache_model
                .is_cached(s.recent_objects.reuse_distance(object))
        };
        let busy = |s: &TrackedServer| s.in_flight >= s.server.slots;
        if self.servers.values().any(|s| caches_object(&s)) {
            return self
                .servers
                .values()
                .filter(eligible)
                .filter(caches_object)
                .any(busy);
        }
        // A previous owner has probably placed the object at the server with the lowest rendezvous
        // hash.
        let first = self.servers.values().filter(eligible);
        let first = first.min_by(|a, b| {
            a.rendezvous_hash(Some(object))
                .total_cmp(&b.rendezvous_hash(Some(object)))
        });
        within_cached_wait && first.is_some_and(busy)
    }

    pub(super) fn retry_budget_allows(&mut self, now: Duration) -> bool {
        let allowed =
            self.cfg.retry_ratio * self.first_attempts.count(now) as f64 + self.cfg.retry_allowance;
        (self.retries.count(now) as f64) + 1.0 <= allowed
    }

    /// Whether a retry has no server left to wait for: those in use are all excluded, and no other
    /// region may take it. Without servers in use, others may be listed soon.
    fn is_out_of_servers(&self, request: &AdmissionRequest) -> bool {
        let excluded = &request.excluded_servers;
        let mut in_use = self
            .servers
            .values()
            .filter(|s| s.server.ready && !s.evacuated)
            .peekable();
        request.retry
            && request.forward_regions.is_empty()
            && in_use.peek().is_some()
            && in_use.all(|s| excluded.contains(&s.server.id))
    }

    pub(super) fn refuse(
        &self,
        queued: &QueuedRequest,
        overloaded: bool,
        queue_length: usize,
        usable_slots: u32,
        now: Duration,
    ) -> Option<(RequestId, Decision)> {
        let request = &queued.request;
        let total = request.deadline_left + request.waited;
        let max_wait = if request.hedge || self.is_out_of_servers(request) {
            Duration::ZERO
        } else if overloaded {
            let target = request.target_left + request.waited;
            target
                .mul_f64(self.cfg.overload_wait)
                .max(total.mul_f64(0.03))
        } else {
            total.mul_f64(self.cfg.normal_wait)
        };
        if queued.waited(now) < max_wait {
            return None;
        }
        let mean_service_time = self.mean_or_initial_service_time();
        let drain_time =
            mean_service_time.mul_f64(queue_length as f64 / f64::from(usable_slots.max(1)));
        let retry_after = drain_time.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        let reason = if usable_slots == 0 {
            RefuseReason::NoServers
        } else {
            RefuseReason::Overloaded
        };
        Some((
            request.id,
            Decision::Refuse {
                reason,
                retry_after,
            },
        ))
    }
}

/// Cost of evicting the least recently used object of a server: the time that its cached data would
/// have saved, which falls with the time since its last use.
fn eviction_cost(
    server: &TrackedServer,
    cache_model: &CacheModel,
    hit_saving: Duration,
    now: Duration,
) -> Duration {
    server
        .recent_objects
        .eviction_age(cache_model.capacity(), now)
        .map_or(Duration::ZERO, |age| {
            let half = EVICTION_HALF_AGE.as_secs_f64();
            hit_saving.mul_f64(half / (half + age.as_secs_f64()))
        })
}
