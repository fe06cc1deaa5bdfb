//! Relays between domains, digests and the loss of a region.

use std::time::Duration;

use config::Class;
use limits::budget::RetryReason;
use limits::queue::Refusal;

use super::{Event, Request, World};
use crate::model::scenario::Policy;
use crate::model::spill::{self, Candidate, Digest, SILENT};

/// Time between digests.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Longest expected wait at which a domain admits a request from another one.
const MAX_RELAY_WAIT: Duration = Duration::from_millis(200);
/// Domains that a request may try before it waits in its own.
const MAX_TRIES: usize = 2;
/// Time until a caller gives up an address that does not answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time until a caller notices that its entry VM is gone.
const CALLER_TIMEOUT: Duration = Duration::from_secs(1);

impl World {
    pub(super) fn start_regions(&mut self) {
        if let Some(regions) = &self.scenario.regions {
            self.events.push(Duration::ZERO, Event::Digest);
            if let Some((_, at)) = regions.loss {
                self.events.push(at, Event::Loss);
            }
        }
    }

    fn region(&self, domain: usize) -> usize {
        let regions = self.scenario.regions.as_ref();
        regions.map_or(0, |r| r.of[domain])
    }

    fn domain_of(&self, vm: usize) -> usize {
        let domains = self.scenario.services.iter();
        let mut domains = domains.map(|s| s.vms.contains(&vm));
        domains.position(|has| has).unwrap_or(0)
    }

    pub(super) fn is_lost(&self, domain: usize) -> bool {
        self.lost.is_some_and(|lost| self.region(domain) == lost)
    }

    pub(super) fn is_vm_lost(&self, vm: usize) -> bool {
        self.lost.is_some() && self.is_lost(self.domain_of(vm))
    }

    fn delay(&self, a: usize, b: usize) -> Duration {
        let Some(regions) = &self.scenario.regions else {
            return Duration::ZERO;
        };
        if a == b {
            Duration::ZERO
        } else if regions.of[a] == regions.of[b] {
            regions.domain_delay
        } else {
            regions.region_delay
        }
    }

    pub(super) fn delay_between(&self, a: usize, b: usize) -> Duration {
        self.delay(self.domain_of(a), self.domain_of(b))
    }

    // Relays.

    /// Relays a request if another domain can probably answer sooner; false if not.
    pub(super) fn route(&mut self, request: u32) -> bool {
        let r = &self.requests[request as usize];
        let (vm, home) = (r.vm, r.service);
        if r.tried.len() >= MAX_TRIES {
            return false;
        }
        let desk = &self.vms[vm].desks[home];
        let class = self.scenario.services[home].class;
        let wait = desk
            .queue
            .expected_wait(class, &r.house, desk.slots(self.now));
        let candidates = (0..self.scenario.services.len()).filter(|d| *d != home);
        let candidates = candidates
            .filter(|d| !r.tried.contains(d))
            .map(|d| Candidate {
                domain: d,
                round_trip: self.delay(home, d) * 2,
                known: self.vms[vm].domains[d],
            });
        let candidates: Vec<Candidate> = candidates.collect();
        let mean = self.scenario.services[home].mean;
        let region = self.region(home);
        let services = self.scenario.services.iter().enumerate();
        let in_region = services.filter(|(d, _)| self.region(*d) == region);
        let crowd = in_region.map(|(_, s)| s.vms.len() as u32).sum();
        let chosen = spill::choose(self.now, wait, mean, crowd, &candidates, &mut self.rng);
        let Some(domain) = chosen else {
            return false;
        };
        let vms = &self.scenario.services[domain].vms;
        let to = vms[self.rng.usize(..vms.len())];
        self.vms[vm].domains[domain].relayed += 1;
        self.vms[vm].relays.insert(request, self.now);
        let r = &mut self.requests[request as usize];
        r.pool = domain;
        r.at = to;
        let at = self.now + self.delay(home, domain);
        self.events.push(at, Event::Relay(request, to));
        true
    }

    pub(super) fn relay_arrives(&mut self, request: u32, vm: usize) {
        let r = &self.requests[request as usize];
        if r.ended || self.is_vm_lost(vm) {
            return;
        }
        let desk = &self.vms[vm].desks[r.pool];
        let class = self.scenario.services[r.pool].class;
        let wait = desk
            .queue
            .expected_wait(class, &r.house, desk.slots(self.now));
        if wait > MAX_RELAY_WAIT {
            self.send_back(request, Refusal::Full);
            return;
        }
        self.enqueue_first(request);
    }

    /// Tells the entry VM that relayed the request that it was not run.
    pub(super) fn send_back(&mut self, request: u32, why: Refusal) {
        let Request { vm, at, .. } = self.requests[request as usize];
        let at = self.now + self.delay_between(vm, at);
        self.events.push(at, Event::NotRun(request, why));
    }

    /// Ends the relay; false if the request has ended or its entry VM is gone.
    fn end_relay(&mut self, request: u32) -> bool {
        let r = &self.requests[request as usize];
        let (vm, pool, ended) = (r.vm, r.pool, r.ended);
        if ended || self.is_vm_lost(vm) {
            return false;
        }
        self.vms[vm].relays.remove(&request);
        let domain = &mut self.vms[vm].domains[pool];
        domain.relayed = domain.relayed.saturating_sub(1);
        domain.heard = self.now;
        true
    }

    pub(super) fn relay_answered(&mut self, request: u32) {
        if self.end_relay(request) {
            self.complete(request);
        }
    }

    pub(super) fn relay_refused(&mut self, request: u32, why: Refusal) {
        if !self.end_relay(request) {
            return;
        }
        let r = &mut self.requests[request as usize];
        r.tried.push(r.pool);
        r.pool = r.service;
        r.at = r.vm;
        if why == Refusal::Expired {
            self.release_connection(request);
            self.refuse(request, why);
        } else {
            self.begin(request);
        }
    }

    /// Gives up relays to domains that have gone silent.
    pub(super) fn check_relays(&mut self, vm: usize) {
        if self.vms[vm].relays.is_empty() {
            return;
        }
        let silent = |request: &u32| {
            let pool = self.requests[*request as usize].pool;
            self.now.saturating_sub(self.vms[vm].domains[pool].heard) > SILENT
        };
        let relays = self.vms[vm].relays.keys().copied();
        let given_up: Vec<u32> = relays.filter(silent).collect();
        for request in given_up {
            self.vms[vm].relays.remove(&request);
            let pool = self.requests[request as usize].pool;
            self.vms[vm].domains[pool].relayed = 0;
            self.retry_elsewhere(request, pool);
        }
    }

    /// The request may have run in a domain that is silent.
    fn retry_elsewhere(&mut self, request: u32, silent: usize) {
        let r = &self.requests[request as usize];
        if r.ended {
            return;
        }
        let (vm, home) = (r.vm, r.service);
        let idempotent = self.class(request) != Class::Binding;
        let budget = &mut self.vms[vm].desks[home].budget;
        if idempotent && budget.try_take_token(RetryReason::Timeout) {
            let again = self.again(request);
            self.requests[again as usize].tried.push(silent);
            self.begin(again);
        } else {
            self.release_connection(request);
            self.end_unknown(request);
        }
    }

    /// Replaces a request whose attempt is lost by a new one of the same caller.
    fn again(&mut self, request: u32) -> u32 {
        let old = &mut self.requests[request as usize];
        old.ended = true;
        old.done = true;
        let mut new = old.clone();
        new.ended = false;
        new.done = false;
        new.attempts.clear();
        new.pool = new.service;
        new.at = new.vm;
        self.requests.push(new);
        self.requests.len() as u32 - 1
    }

    // Digests.

    pub(super) fn measure_domains(&mut self) {
        if !self.active() {
            return;
        }
        self.events.push(self.now + DIGEST_INTERVAL, Event::Digest);
        let services = self.scenario.services.len();
        for domain in 0..services {
            if self.is_lost(domain) {
                continue;
            }
            let mut digest = Digest::default();
            for vm in &self.scenario.services[domain].vms {
                let desk = &self.vms[*vm].desks[domain];
                let slots = desk.slots(self.now);
                digest.slots += slots.total;
                digest.load += slots.in_use + desk.queue.len() as u32;
            }
            for to in 0..services {
                let at = self.now + self.delay(domain, to);
                self.events.push(at, Event::Digested(domain, to, digest));
            }
        }
    }

    pub(super) fn digested(&mut self, domain: usize, to: usize, digest: Digest) {
        for vm in &self.scenario.services[to].vms {
            let known = &mut self.vms[*vm].domains[domain];
            known.digest = digest;
            known.relayed_then = known.relayed;
            known.heard = self.now;
        }
    }

    /// Counts bytes on a link between regions, which its entry VMs share.
    pub(super) fn count_link(&mut self, vm: usize, to: usize, bytes: u64) {
        let Some(regions) = self.scenario.regions.as_ref().filter(|_| to > 0) else {
            return;
        };
        let from = regions.of[self.domain_of(vm)];
        let time = Duration::from_secs_f64(bytes as f64 / regions.link as f64);
        let end = self.link_ends.entry((from, to - 1)).or_default();
        *end = (*end).max(self.now) + time;
        let backlog = end.saturating_sub(self.now);
        self.stats.link_backlog = self.stats.link_backlog.max(backlog);
        self.stats.link_bytes += bytes;
    }

    // Loss of a region.

    pub(super) fn lose_region(&mut self) {
        let loss = self.scenario.regions.as_ref().and_then(|r| r.loss);
        self.lost = loss.map(|(region, _)| region);
        let requests = (0_u32..).zip(&self.requests);
        let callers = requests.filter(|(_, r)| !r.ended && self.is_lost(r.service));
        let callers: Vec<u32> = callers.map(|(request, _)| request).collect();
        for request in callers {
            // The caller cannot know whether its entry VM has sent the request.
            if self.class(request) == Class::Binding {
                self.end_unknown(request);
            } else {
                let again = self.again(request);
                let at = self.now + CALLER_TIMEOUT;
                self.events.push(at, Event::Reconnect(again));
            }
        }
    }

    /// Callers use their look-up answer until it expires, and then get a new one.
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
        r.at = vm;
        self.connect(request);
    }

    /// True if the policy relays requests.
    pub(super) fn relays(&self) -> bool {
        self.scenario.regions.is_some() && self.scenario.policy != Policy::Plain
    }
}

/// Lifetime of a look-up answer under the default rules.
fn look_up_lifetime() -> Duration {
    Duration::from_millis(config::Rules::default().look_up_lifetime_ms)
}
