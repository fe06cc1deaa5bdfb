//! State of the dispatcher.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use config::{DomainId, EntryVmId, RegionId, ServiceId};
use dispatch::{
    AdmissionRequest, Decision, Grant, LoadReport, Member, MemberList, MemberState, Outcome, Pool,
    PoolSettings, RequestId, Server,
};

use super::Request;
use super::heartbeats::Due;
use super::timing::{ASK_REPEAT, WAIT_CHECK};
use crate::message::Message;
use crate::settings::Settings;

/// A request of this entry VM that waits for a decision.
#[derive(Debug)]
pub(super) struct Pending {
    pub ask: AdmissionRequest,
    /// Receives the decision.
    tx: Sender<Decision>,
    /// Entry VM that was asked; `None` for the own pool.
    pub keeper: Option<EntryVmId>,
    /// When the ask was last sent.
    pub sent_at: Duration,
    /// Asks without an answer.
    pub tries: u32,
    /// When the request came.
    since: Duration,
}

/// A slot in use by a request of this entry VM.
#[derive(Debug)]
pub(super) struct InUse {
    pub service: ServiceId,
    pub grant: Grant,
    /// Entry VM that granted it; `None` for the own pool.
    pub keeper: Option<EntryVmId>,
    pub expires: Duration,
}

/// An end that the keeper has not confirmed.
#[derive(Debug)]
pub(super) struct Unconfirmed {
    pub to: SocketAddr,
    pub message: Message,
    pub sent_at: Duration,
    pub tries: u32,
}

/// State of the dispatcher.
#[derive(Debug)]
pub(super) struct Inner {
    pub members: MemberList,
    /// Regions of all failure domains.
    pub domains: BTreeMap<DomainId, RegionId>,
    pub seeds: Vec<SocketAddr>,
    pub pools: BTreeMap<ServiceId, Pool>,
    evacuated: Vec<DomainId>,
    next_number: u64,
    pub pending: HashMap<u64, Pending>,
    pub in_use: HashMap<u64, InUse>,
    /// Services whose pools this entry VM keeps.
    pub kept: BTreeSet<ServiceId>,
    pub unconfirmed: HashMap<RequestId, Unconfirmed>,
    pub round_trips: BTreeMap<RegionId, Duration>,
    /// Addresses of the incarnations that have asked.
    pub askers: HashMap<u64, SocketAddr>,
    pub due: Due,
    pub next_report: Duration,
    /// Members that were silent for long, until they are taken.
    pub forgotten: Vec<Member>,
    pub outbox: Vec<(SocketAddr, Message)>,
}

impl Inner {
    pub fn new(settings: &Settings, own: Member) -> Self {
        Inner {
            members: MemberList::new(own),
            domains: settings.domains.clone(),
            seeds: settings.seeds.clone(),
            pools: BTreeMap::new(),
            evacuated: Vec::new(),
            next_number: 1,
            pending: HashMap::new(),
            in_use: HashMap::new(),
            kept: BTreeSet::new(),
            unconfirmed: HashMap::new(),
            round_trips: BTreeMap::new(),
            askers: HashMap::new(),
            due: Due::default(),
            next_report: Duration::ZERO,
            forgotten: Vec::new(),
            outbox: Vec::new(),
        }
    }

    pub fn take_outbox(&mut self) -> Vec<(SocketAddr, Message)> {
        std::mem::take(&mut self.outbox)
    }

    pub fn send(&mut self, to: SocketAddr, message: Message) {
        self.outbox.push((to, message));
    }

    pub fn set_state(&mut self, state: MemberState, now: Duration) {
        self.members.own.state = state;
        self.tell_change(now);
        self.follow_keepers(now);
    }

    pub fn set_informed(&mut self, informed: bool, now: Duration) {
        if self.members.own.platform_connected != informed {
            self.members.own.platform_connected = informed;
            self.tell_change(now);
            self.follow_keepers(now);
        }
    }

    pub fn configure(&mut self, service: &ServiceId, cfg: PoolSettings) {
        self.pool(service).configure(cfg);
    }

    pub fn pool(&mut self, service: &ServiceId) -> &mut Pool {
        self.pools
            .entry(service.clone())
            .or_insert_with(|| Pool::new(PoolSettings::default()))
    }

    pub fn put_server(&mut self, server: Server, now: Duration) {
        let here = self.domains.get(&server.domain) == Some(&self.members.own.region);
        for (service, pool) in &mut self.pools {
            if !here || *service != server.service {
                pool.remove_server(&server.id);
            }
        }
        if here {
            let evacuated = self.evacuated.clone();
            let pool = self.pool(&server.service.clone());
            pool.upsert_server(server, now);
            pool.evacuate(&evacuated, now);
        }
        self.decide_all(now);
    }

    pub fn remove_server(&mut self, id: &str) {
        for pool in self.pools.values_mut() {
            pool.remove_server(id);
        }
    }

    pub fn evacuate(&mut self, domains: Vec<DomainId>, now: Duration) {
        for pool in self.pools.values_mut() {
            pool.evacuate(&domains, now);
        }
        self.evacuated = domains;
    }

    pub fn add_member(&mut self, member: Member, now: Duration) {
        let to = member.peers;
        if self.members.add(member, now) {
            self.describe(to);
        }
    }

    pub fn usual(&self, service: &str) -> Option<Duration> {
        self.pools.get(service).and_then(Pool::mean_service_time)
    }

    /// Numbers a request and asks the keeper of its pool.
    pub fn open(&mut self, request: &Request, now: Duration) -> (u64, Receiver<Decision>) {
        let number = self.next_number;
        self.next_number += 1;
        let own = &self.members.own;
        let ask = AdmissionRequest {
            id: (own.incarnation, number),
            service: request.service.clone(),
            domain: own.domain.clone(),
            target_left: request.target_at.saturating_sub(now),
            deadline_left: request.deadline_at.saturating_sub(now),
            waited: now.saturating_sub(request.since),
            priority: request.rank,
            retry: request.repeat,
            hedge: request.spare,
            owner_bypassed: false,
            object: request.object,
            excluded_servers: request.avoid.clone(),
            forward_regions: request.regions.clone(),
        };
        let (tx, rx) = async_channel::bounded(1);
        let pending = Pending {
            keeper: self.keeper(&ask.service, now),
            ask,
            tx,
            sent_at: now,
            tries: 0,
            since: now,
        };
        self.pending.insert(number, pending);
        self.place(number, now);
        (number, rx)
    }

    /// Returns the other entry VM that keeps the pool, or `None` for the own pool.
    pub fn keeper(&self, service: &str, now: Duration) -> Option<EntryVmId> {
        let own = &self.members.own;
        let keeper = self.members.pool_owner(service, &own.region, now)?;
        (keeper.id != own.id).then(|| keeper.id.clone())
    }

    /// Sends a pending request to its keeper.
    pub fn place(&mut self, number: u64, now: Duration) {
        let Some(pending) = self.pending.get_mut(&number) else {
            return;
        };
        let passed = now.saturating_sub(pending.sent_at);
        pending.sent_at = now;
        let ask = &mut pending.ask;
        ask.target_left = ask.target_left.saturating_sub(passed);
        ask.deadline_left = ask.deadline_left.saturating_sub(passed);
        ask.waited += passed;
        let ask = ask.clone();
        let address = pending
            .keeper
            .as_ref()
            .and_then(|id| self.members.get(id))
            .map(|m| m.peers);
        if let Some(to) = address {
            return self.send(to, Message::Ask(ask));
        }
        pending.keeper = None;
        let service = ask.service.clone();
        let owner_bypassed = self.keeper(&service, now).is_some();
        self.pool(&service).submit(
            AdmissionRequest {
                owner_bypassed,
                ..ask
            },
            now,
        );
        self.decide(&service, now);
    }

    /// Ends a request of this entry VM.
    pub fn close(
        &mut self,
        number: u64,
        outcome: Outcome,
        load: Option<LoadReport>,
        now: Duration,
    ) {
        let (service, keeper) = if let Some(used) = self.in_use.remove(&number) {
            (used.service, used.keeper)
        } else if let Some(pending) = self.pending.remove(&number) {
            (pending.ask.service, pending.keeper)
        } else {
            return;
        };
        let id = (self.members.own.incarnation, number);
        let address = keeper.and_then(|k| self.members.get(&k).map(|m| m.peers));
        if let Some(to) = address {
            return self.send_end(to, id, service, outcome, load, now);
        }
        self.pool(&service).end(id, outcome, load, now);
        self.decide(&service, now);
    }

    pub fn send_end(
        &mut self,
        to: SocketAddr,
        id: RequestId,
        service: ServiceId,
        outcome: Outcome,
        load: Option<LoadReport>,
        now: Duration,
    ) {
        let message = Message::End {
            id,
            service,
            outcome,
            load,
        };
        self.send(to, message.clone());
        let unconfirmed = Unconfirmed {
            to,
            message,
            sent_at: now,
            tries: 1,
        };
        self.unconfirmed.insert(id, unconfirmed);
    }

    pub fn confirm_end(&mut self, id: RequestId) {
        self.unconfirmed.remove(&id);
    }

    /// Decides what can be decided in a pool and tells the requesters.
    pub fn decide(&mut self, service: &ServiceId, now: Duration) {
        let decisions = self.pool(service).schedule(now);
        for (id, decision) in decisions {
            if id.0 == self.members.own.incarnation {
                self.decided(id, decision, None, now);
            } else if let Some(&to) = self.askers.get(&id.0) {
                self.send(to, Message::Decided(id, decision));
            }
        }
    }

    pub fn decide_all(&mut self, now: Duration) {
        let waiting: Vec<ServiceId> = self
            .pools
            .iter()
            .filter(|(_, p)| p.has_queued())
            .map(|(s, _)| s.clone())
            .collect();
        for service in waiting {
            self.decide(&service, now);
        }
    }

    /// Delivers a decision; `from` is the entry VM that made it, `None` for the own pool.
    pub fn decided(
        &mut self,
        id: RequestId,
        decision: Decision,
        from: Option<EntryVmId>,
        now: Duration,
    ) {
        let number = id.1;
        if let Decision::Grant(grant) = &decision
            && from.is_some()
            && self.veto(number, grant, now)
        {
            return;
        }
        let Some(pending) = self.pending.remove(&number) else {
            self.return_grant(id, &decision, from);
            return;
        };
        if let Decision::Grant(grant) = &decision {
            let used = InUse {
                service: pending.ask.service.clone(),
                grant: grant.clone(),
                keeper: from,
                expires: pending.sent_at + pending.ask.deadline_left,
            };
            self.in_use.insert(number, used);
        }
        let waited = now.saturating_sub(pending.since).as_secs_f64();
        metrics::histogram!("gateway_admission_wait_seconds").record(waited);
        if pending.tx.try_send(decision).is_err() {
            // The caller has left meanwhile.
            self.close(number, Outcome::Unused, None, now);
        }
    }

    /// Returns a slot of a server that is leaving, evacuated or cold, which the keeper does not know
    /// yet, and asks again.
    fn veto(&mut self, number: u64, grant: &Grant, now: Duration) -> bool {
        let Some(pending) = self.pending.get_mut(&number) else {
            return false;
        };
        let ask = &mut pending.ask;
        let checked = self
            .pools
            .get(&ask.service)
            .map(|p| p.check_grant(grant, now));
        let Some(Err(outcome)) = checked else {
            return false;
        };
        metrics::counter!("gateway_grants_vetoed_total").increment(1);
        log::info!(
            "event=grant_vetoed server={} service={} reason={outcome:?}",
            grant.server,
            ask.service
        );
        if outcome == Outcome::Leaving {
            ask.excluded_servers.push(grant.server.clone());
        }
        let (id, service) = (ask.id, ask.service.clone());
        let address = pending
            .keeper
            .as_ref()
            .and_then(|k| self.members.get(k))
            .map(|m| m.peers);
        if let Some(to) = address {
            self.send(
                to,
                Message::End {
                    id,
                    service,
                    outcome,
                    load: None,
                },
            );
        }
        self.place(number, now);
        true
    }

    /// Gives back a slot that nobody waits for: the request has ended or was granted elsewhere.
    fn return_grant(&mut self, id: RequestId, decision: &Decision, from: Option<EntryVmId>) {
        let Decision::Grant(grant) = decision else {
            return;
        };
        let repeated = self
            .in_use
            .get(&id.1)
            .is_some_and(|u| u.keeper == from && u.grant == *grant);
        let address = from.and_then(|f| self.members.get(&f).map(|m| m.peers));
        if repeated || self.unconfirmed.contains_key(&id) {
            return;
        }
        let service = self.service_of(grant);
        if let (Some(to), Some(service)) = (address, service) {
            self.send(
                to,
                Message::End {
                    id,
                    service,
                    outcome: Outcome::Unused,
                    load: None,
                },
            );
        }
    }

    fn service_of(&self, grant: &Grant) -> Option<ServiceId> {
        self.pools
            .iter()
            .find(|(_, p)| p.contains_server(&grant.server))
            .map(|(s, _)| s.clone())
    }
}

impl Pending {
    /// Time between two asks.
    pub fn period(&self) -> Duration {
        if self.tries == 0 && self.sent_at > self.since {
            WAIT_CHECK
        } else {
            ASK_REPEAT
        }
    }

    /// Records that the keeper knows the request.
    pub fn acknowledge(&mut self, now: Duration) {
        let passed = now
            .saturating_sub(self.sent_at)
            .max(Duration::from_nanos(1));
        self.ask.target_left = self.ask.target_left.saturating_sub(passed);
        self.ask.deadline_left = self.ask.deadline_left.saturating_sub(passed);
        self.ask.waited += passed;
        self.sent_at = now.max(self.since + Duration::from_nanos(1));
        self.tries = 0;
    }
}
