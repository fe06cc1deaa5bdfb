//! Relayed requests, digests and the loss of a region.

use std::time::Duration;

use config::Class;
use limits::budget::RetryReason;
use limits::queue::Refusal;

use super::{Event, Request, Simulation};
use crate::simulation::domain_choice::{self, Candidate, DOMAIN_TIMEOUT, Digest};
use crate::simulation::scenario::Policy;

/// Interval between the digests of a domain.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Longest expected wait at which a domain accepts a relayed request.
const MAX_RELAY_WAIT: Duration = Duration::from_millis(200);
/// Number of other domains that a request is relayed to before it waits in its own domain.
const MAX_RELAY_ATTEMPTS: usize = 2;
/// Time after which a caller gives up connecting to an address.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which a caller detects that its entry VM has failed.
const CALLER_TIMEOUT: Duration = Duration::from_secs(1);

impl Simulation {
    pub(super) fn start_regions(&mut self) {
        if let Some(regions) = &self.scenario.regions {
            self.events.push(Duration::ZERO, Event::MeasureDomains);
            if let Some((_, at)) = regions.loss {
                self.events.push(at, Event::RegionLoss);
            }
        }
    }

    fn region(&self, domain: usize) -> usize {
        let regions = self.scenario.regions.as_ref();
        regions.map_or(0, |r| r.of_domain[domain])
    }

    fn domain_of(&self, vm: usize) -> usize {
        let domains = self.scenario.services.iter();
        let mut domains = domains.map(|s| s.vms.contains(&vm));
        domains.position(|has| has).unwrap_or(0)
    }

    pub(super) fn is_lost(&self, domain: usize) -> bool {
        self.lost_region
            .is_some_and(|lost| self.region(domain) == lost)
    }

    pub(super) fn is_vm_lost(&self, vm: usize) -> bool {
        self.lost_region.is_some() && self.is_lost(self.domain_of(vm))
    }

    fn delay(&self, a: usize, b: usize) -> Duration {
        let Some(regions) = &self.scenario.regions else {
            return Duration::ZERO;
        };
        if a == b {
            Duration::ZERO
        } else if regions.of_domain[a] == regions.of_domain[b] {
            regions.domain_delay
        } else {
            regions.region_delay
        }
    }

    pub(super) fn delay_between(&self, a: usize, b: usize) -> Duration {
        self.delay(self.domain_of(a), self.domain_of(b))
    }

    // Relayed requests.

    /// Relays a request if another domain is expected to respond sooner; returns false if it is not
    /// relayed.
    pub(super) fn try_relay(&mut self, request: u32) -> bool {
        let r = &self.requests[request as usize];
        let (vm, home) = (r.vm, r.service);
        if r.tried_domains.len() >= MAX_RELAY_ATTEMPTS {
            return false;
        }
        let service_state = &self.vms[vm].services[home];
        let class = self.scenario.services[home].class;
        let wait =
            service_state
                .queue
                .expected_wait(class, &r.house, service_state.slots(self.now));
        let candidates = (0..self.scenario.services.len()).filter(|d| *d != home);
        let candidates = candidates
            .filter(|d| !r.tried_domains.contains(d))
            .map(|d| Candidate {
                domain: d,
                round_trip: self.delay(home, d) * 2,
                status: self.vms[vm].domains[d],
            });
        let candidates: Vec<Candidate> = candidates.collect();
        let mean_service_time = self.scenario.services[home].mean_service_time;
        let region = self.region(home);
        let services = self.scenario.services.iter().enumerate();
        let in_region = services.filter(|(d, _)| self.region(*d) == region);
        let deciders = in_region.map(|(_, s)| s.vms.len() as u32).sum();
        let chosen = domain_choice::choose(
            self.now,
            wait,
            mean_service_time,
            deciders,
            &candidates,
            &mut self.rng,
        );
        let Some(domain) = chosen else {
            return false;
        };
        let vms = &self.scenario.services[domain].vms;
        let to = vms[self.rng.usize(..vms.len())];
        self.vms[vm].domains[domain].relayed += 1;
        self.vms[vm].relays.insert(request, self.now);
        let r = &mut self.requests[request as usize];
        r.pool = domain;
        r.pool_vm = to;
        let at = self.now + self.delay(home, domain);
        self.events.push(at, Event::RelayArrival(request, to));
        true
    }

    pub(super) fn receive_relay(&mut self, request: u32, vm: usize) {
        let r = &self.requests[request as usize];
        if r.ended || self.is_vm_lost(vm) {
            return;
        }
        let service_state = &self.vms[vm].services[r.pool];
        let class = self.scenario.services[r.pool].class;
        let wait =
            service_state
                .queue
                .expected_wait(class, &r.house, service_state.slots(self.now));
        if wait > MAX_RELAY_WAIT {
            self.send_back(request, Refusal::Full);
            return;
        }
        self.enqueue_first(request);
    }

    /// Returns a relayed request that was not run to the entry VM that relayed it.
    pub(super) fn send_back(&mut self, request: u32, why: Refusal) {
        let Request { vm, pool_vm, .. } = self.requests[request as usize];
        let at = self.now + self.delay_between(vm, pool_vm);
        self.events.push(at, Event::RelayRefused(request, why));
    }

    /// Records that a relayed request was answered or refused; returns false if the request has ended
    /// or its entry VM is lost.
    fn end_relay(&mut self, request: u32) -> bool {
        let r = &self.requests[request as usize];
        let (vm, pool, ended) = (r.vm, r.pool, r.ended);
        if ended || self.is_vm_lost(vm) {
            return false;
        }
        self.vms[vm].relays.remove(&request);
        let domain = &mut self.vms[vm].domains[pool];
        domain.relayed = domain.relayed.saturating_sub(1);
        domain.last_heard = self.now;
        true
    }

    pub(super) fn receive_relay_response(&mut self, request: u32) {
        if self.end_relay(request) {
            self.complete(request);
        }
    }

    pub(super) fn receive_relay_refusal(&mut self, request: u32, why: Refusal) {
        if !self.end_relay(request) {
            return;
        }
        let r = &mut self.requests[request as usize];
        r.tried_domains.push(r.pool);
        r.pool = r.service;
        r.pool_vm = r.vm;
        if why == Refusal::Expired {
            self.release_connection(request);
            self.refuse(request, why);
        } else {
            self.dispatch(request);
        }
    }

    /// Retries requests that were relayed to domains that have timed out.
    pub(super) fn check_relays(&mut self, vm: usize) {
        if self.vms[vm].relays.is_empty() {
            return;
        }
        let timed_out = |request: &u32| {
            let pool = self.requests[*request as usize].pool;
            self.now
                .saturating_sub(self.vms[vm].domains[pool].last_heard)
                > DOMAIN_TIMEOUT
        };
        let relays = self.vms[vm].relays.keys().copied();
        let retried: Vec<u32> = relays.filter(timed_out).collect();
        for request in retried {
            self.vms[vm].relays.remove(&request);
            let pool = self.requests[request as usize].pool;
            self.vms[vm].domains[pool].relayed = 0;
            self.retry_elsewhere(request, pool);
        }
    }

    /// Retries a request relayed to a domain that timed out. It may have run there, so the
    /// outcome of a binding request, or of one without a retry token, is unknown.
    fn retry_elsewhere(&mut self, request: u32, timed_out: usize) {
        let r = &self.requests[request as usize];
        if r.ended {
            return;
        }
        let (vm, home) = (r.vm, r.service);
        let idempotent = self.class(request) != Class::Binding;
        let budget = &mut self.vms[vm].services[home].budget;
        if idempotent && budget.try_take_token(RetryReason::Timeout) {
            let replacement = self.replace_request(request);
            self.requests[replacement as usize]
                .tried_domains
                .push(timed_out);
            self.dispatch(replacement);
        } else {
            self.release_connection(request);
            self.end_unknown(request);
        }
    }

    /// Ends a request whose response is lost and creates its retry; returns the index of the retry.
    fn replace_request(&mut self, request: u32) -> u32 {
        let old = &mut self.requests[request as usize];
        old.ended = true;
        old.done = true;
        let mut new = old.clone();
        new.ended = false;
        new.done = false;
        new.attempts.clear();
        new.pool = new.service;
        new.pool_vm = new.vm;
        self.requests.push(new);
        self.requests.len() as u32 - 1
    }

    // Digests.

    pub(super) fn measure_domains(&mut self) {
        if !self.active() {
            return;
        }
        self.events
            .push(self.now + DIGEST_INTERVAL, Event::MeasureDomains);
        let services = self.scenario.services.len();
        for domain in 0..services {
            if self.is_lost(domain) {
                continue;
            }
            let mut digest = Digest::default();
            for vm in &self.scenario.services[domain].vms {
                let service_state = &self.vms[*vm].services[domain];
                let slots = service_state.slots(self.now);
                digest.slots += slots.total;
                digest.load += slots.in_use + service_state.queue.len() as u32;
            }
            for to in 0..services {
                let at = self.now + self.delay(domain, to);
                self.events
                    .push(at, Event::DigestArrival(domain, to, digest));
            }
        }
    }

    pub(super) fn receive_digest(&mut self, domain: usize, to: usize, digest: Digest) {
        for vm in &self.scenario.services[to].vms {
            let status = &mut self.vms[*vm].domains[domain];
            status.digest = digest;
            status.relayed_at_digest = status.relayed;
            status.last_heard = self.now;
        }
    }

    /// Adds bytes to the statistics of a link between regions, which the entry VMs of the region
    /// share.
    pub(super) fn count_link(&mut self, vm: usize, to: usize, bytes: u64) {
        let Some(regions) = self.scenario.regions.as_ref().filter(|_| to > 0) else {
            return;
        };
        let from = regions.of_domain[self.domain_of(vm)];
        let time = Duration::from_secs_f64(bytes as f64 / regions.link_bytes_per_second as f64);
        let end = self.link_free_at.entry((from, to - 1)).or_default();
        *end = (*end).max(self.now) + time;
        let backlog = end.saturating_sub(self.now);
        self.stats.link_backlog = self.stats.link_backlog.max(backlog);
        self.stats.link_bytes += bytes;
    }

    // Loss of a region.

    pub(super) fn lose_region(&mut self) {
        let loss = self.scenario.regions.as_ref().and_then(|r| r.loss);
        self.lost_region = loss.map(|(region, _)| region);
        let requests = (0_u32..).zip(&self.requests);
        let callers = requests.filter(|(_, r)| !r.ended && self.is_lost(r.service));
        let callers: Vec<u32> = callers.map(|(request, _)| request).collect();
        for request in callers {
            // The caller cannot know whether its entry VM sent the request to a server.
            if self.class(request) == Class::Binding {
                self.end_unknown(request);
            } else {
                let replacement = self.replace_request(request);
                let at = self.now + CALLER_TIMEOUT;
                self.events.push(at, Event::Reconnect(replacement));
            }
        }
    }

    /// Schedules the next connection attempt of a caller whose entry VM is lost. A look-up answer from
    /// before the loss may name entry VMs of the lost region until it expires, so connecting takes
    /// until the time-out; after that, the caller gets a new answer at once.
    pub(super) fn reconnect_later(&mut self, request: u32) {
        let loss = self.scenario.regions.as_ref().and_then(|r| r.loss);
        let old = loss.is_some_and(|(_, at)| self.now < at + look_up_lifetime());
        let wait = if old { CONNECT_TIMEOUT } else { Duration::ZERO };
        self.events.push(self.now + wait, Event::Reconnect(request));
    }

    pub(super) fn reconnect(&mut self, request: u32) {
        let services = 0..self.scenario.services.len();
        let live: Vec<usize> = services.filter(|d| !self.is_lost(*d)).collect();
        let domain = live[self.rng.usize(..live.len())];
        let vms = &self.scenario.services[domain].vms;
        let vm = vms[self.rng.usize(..vms.len())];
        let r = &mut self.requests[request as usize];
        r.service = domain;
        r.pool = domain;
        r.vm = vm;
        r.pool_vm = vm;
        self.connect(request);
    }

    /// Returns true if requests may be relayed to other domains.
    pub(super) fn relays(&self) -> bool {
        self.scenario.regions.is_some() && self.scenario.policy != Policy::RoundRobin
    }
}

/// Returns the lifetime of a look-up answer under the default rules.
fn look_up_lifetime() -> Duration {
    Duration::from_millis(config::Rules::default().look_up_lifetime_ms)
}
