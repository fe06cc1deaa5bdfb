//! State of the dispatcher, and the life of a request from its submission to its end.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use config::{DomainId, EntryVmId, Incarnation, RegionId, ServiceId};
use dispatch::{
    AdmissionRequest, Decision, Grant, LoadReport, Member, MemberList, MemberState, Outcome, Pool,
    PoolSettings, Reachability, RequestId,
};

use super::SlotRequest;
use super::heartbeats::DueTimes;
use super::progress::Progress;
use super::timing::{QUEUED_CHECK_INTERVAL, REQUEST_RESEND_INTERVAL};
use crate::message::Message;
use crate::settings::Settings;

/// A request of this entry VM without a decision yet.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub request: AdmissionRequest,
    /// Sends the decision to the waiting task.
    tx: Sender<Decision>,
    /// Pool owner that the request is sent to; `None` for the own pool.
    pub owner: Option<EntryVmId>,
    /// When the request was last sent, or confirmed as queued.
    pub sent_at: Duration,
    /// Number of times that the request was sent without an answer.
    pub unanswered: u32,
    submitted_at: Duration,
}

/// A slot in use by a request of this entry VM.
#[derive(Debug)]
pub(super) struct ActiveSlot {
    pub service: ServiceId,
    pub grant: Grant,
    /// Pool owner that counts the slot as in use; `None` for the own pool.
    pub owner: Option<EntryVmId>,
    pub granted_at: Duration,
    /// Deadline of the request.
    pub expires_at: Duration,
}

/// The end of a request that the pool owner has not confirmed.
#[derive(Debug)]
pub(super) struct UnconfirmedEnd {
    pub to: SocketAddr,
    pub message: Message,
    pub sent_at: Duration,
    pub sends: u32,
}

/// State of the dispatcher.
#[derive(Debug)]
pub(super) struct Inner {
    pub members: MemberList,
    /// All failure domains, with their regions.
    pub domains: BTreeMap<DomainId, RegionId>,
    pub seeds: Vec<SocketAddr>,
    pub pools: BTreeMap<ServiceId, Pool>,
    pub evacuated: Vec<DomainId>,
    next_number: u64,
    pub pending: HashMap<u64, PendingRequest>,
    pub active_slots: HashMap<u64, ActiveSlot>,
    /// Services whose pools this entry VM owns.
    pub owned_services: BTreeSet<ServiceId>,
    pub unconfirmed_ends: HashMap<RequestId, UnconfirmedEnd>,
    pub round_trips: BTreeMap<RegionId, Duration>,
    /// Peer addresses of the entry VMs that have requested slots, by incarnation.
    pub requester_addresses: HashMap<u64, SocketAddr>,
    pub progress: Progress,
    /// Whether this entry VM reaches the servers.
    pub reachability: Reachability,
    /// Other entry VMs that are cut off from the servers, and when they last said so.
    pub cut_off_members: BTreeMap<Incarnation, Duration>,
    /// Uptime by which the deadlines of requests must have passed; `None` if this entry VM is not
    /// leaving.
    pub leaving_until: Option<Duration>,
    /// The same for other entry VMs that are leaving.
    pub leaving_members: BTreeMap<Incarnation, Duration>,
    pub due: DueTimes,
    pub next_snapshot_at: Duration,
    /// Members removed after a long silence that [`super::Dispatcher::take_expired_members`] has
    /// not returned yet.
    pub expired_members: Vec<Member>,
    /// Messages to send once the lock is released.
    pub outbox: Vec<(SocketAddr, Message)>,
}

impl Inner {
    pub fn new(settings: &Settings, own: Member) -> Self {
        let mut members = MemberList::new(own);
        members.set_own_capacity(settings.capacity);
        Inner {
            members,
            domains: settings.domains.clone(),
            seeds: settings.seeds.clone(),
            pools: BTreeMap::new(),
            evacuated: Vec::new(),
            next_number: 1,
            pending: HashMap::new(),
            active_slots: HashMap::new(),
            owned_services: BTreeSet::new(),
            unconfirmed_ends: HashMap::new(),
            round_trips: BTreeMap::new(),
            requester_addresses: HashMap::new(),
            progress: Progress::default(),
            reachability: Reachability::default(),
            cut_off_members: BTreeMap::new(),
            leaving_until: None,
            leaving_members: BTreeMap::new(),
            due: DueTimes::default(),
            next_snapshot_at: Duration::ZERO,
            expired_members: Vec::new(),
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
        self.announce_state(now);
        self.follow_pool_owners(now);
    }

    pub fn set_platform_connected(&mut self, platform_connected: bool, now: Duration) {
        if self.members.own.platform_connected != platform_connected {
            self.members.own.platform_connected = platform_connected;
            self.announce_state(now);
            self.follow_pool_owners(now);
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

    pub fn add_member(&mut self, member: Member, now: Duration) {
        let to = member.peers;
        if self.members.add(member, now) {
            self.send_heartbeat(to);
        }
    }

    /// Assigns a number to a request and submits it to the pool owner.
    pub fn submit_request(
        &mut self,
        slot_request: &SlotRequest,
        now: Duration,
    ) -> (u64, Receiver<Decision>) {
        let number = self.next_number;
        self.next_number += 1;
        let own = &self.members.own;
        let request = AdmissionRequest {
            id: (own.incarnation, number),
            service: slot_request.service.clone(),
            domain: own.domain.clone(),
            target_left: slot_request.target_at.saturating_sub(now),
            deadline_left: slot_request.deadline_at.saturating_sub(now),
            waited: now.saturating_sub(slot_request.waiting_since),
            priority: slot_request.priority,
            retry: slot_request.retry,
            hedge: slot_request.hedge,
            owner_bypassed: false,
            object: slot_request.object,
            excluded_servers: slot_request.excluded_servers.clone(),
            forward_regions: slot_request.forward_regions.clone(),
        };
        let (tx, rx) = async_channel::bounded(1);
        let pending = PendingRequest {
            owner: self.remote_owner(&request.service, now),
            request,
            tx,
            sent_at: now,
            unanswered: 0,
            submitted_at: now,
        };
        self.pending.insert(number, pending);
        self.send_or_submit(number, now);
        (number, rx)
    }

    /// Returns the pool owner in this region, or `None` if that is this entry VM or no member is
    /// available.
    pub fn remote_owner(&self, service: &str, now: Duration) -> Option<EntryVmId> {
        let own = &self.members.own;
        let owner = self.members.pool_owner(service, &own.region, now)?;
        (owner.id != own.id).then(|| owner.id.clone())
    }

    /// Sends a pending request to the pool owner, with the time that it has left now. Submits it to
    /// the own pool if this entry VM owns the pool or the owner cannot be reached.
    pub fn send_or_submit(&mut self, number: u64, now: Duration) {
        let Some(pending) = self.pending.get_mut(&number) else {
            return;
        };
        let passed = now.saturating_sub(pending.sent_at);
        pending.sent_at = now;
        let request = &mut pending.request;
        request.target_left = request.target_left.saturating_sub(passed);
        request.deadline_left = request.deadline_left.saturating_sub(passed);
        request.waited += passed;
        let request = request.clone();
        let address = pending
            .owner
            .as_ref()
            .and_then(|id| self.members.get(id))
            .map(|m| m.peers);
        if let Some(to) = address {
            return self.send(to, Message::Admit(request));
        }
        pending.owner = None;
        let service = request.service.clone();
        let owner_bypassed = self.remote_owner(&service, now).is_some();
        self.pool(&service).submit(
            AdmissionRequest {
                owner_bypassed,
                ..request
            },
            now,
        );
        self.schedule(&service, now);
    }

    /// Ends a request of this entry VM and frees its slot. Does nothing if it has ended already.
    pub fn end_request(
        &mut self,
        number: u64,
        outcome: Outcome,
        load: Option<LoadReport>,
        now: Duration,
    ) {
        let (service, owner) = if let Some(slot) = self.active_slots.remove(&number) {
            (slot.service, slot.owner)
        } else if let Some(pending) = self.pending.remove(&number) {
            (pending.request.service, pending.owner)
        } else {
            return;
        };
        let id = (self.members.own.incarnation, number);
        let address = owner.and_then(|o| self.members.get(&o).map(|m| m.peers));
        if let Some(to) = address {
            return self.send_end(to, id, service, outcome, load, now);
        }
        self.pool(&service).end(id, outcome, load, now);
        self.schedule(&service, now);
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
        let unconfirmed = UnconfirmedEnd {
            to,
            message,
            sent_at: now,
            sends: 1,
        };
        self.unconfirmed_ends.insert(id, unconfirmed);
    }

    pub fn confirm_end(&mut self, id: RequestId) {
        self.unconfirmed_ends.remove(&id);
    }

    /// Decides about the queued requests of a pool, as far as possible, and sends the decisions to
    /// the requesting entry VMs.
    pub fn schedule(&mut self, service: &ServiceId, now: Duration) {
        let decisions = self.pool(service).schedule(now);
        for (id, decision) in decisions {
            if id.0 == self.members.own.incarnation {
                self.deliver_decision(id, decision, None, now);
            } else if let Some(&to) = self.requester_addresses.get(&id.0) {
                self.send(to, Message::Decided(id, decision));
            }
        }
    }

    pub fn schedule_all(&mut self, now: Duration) {
        let services: Vec<ServiceId> = self
            .pools
            .iter()
            .filter(|(_, p)| p.has_queued())
            .map(|(s, _)| s.clone())
            .collect();
        for service in services {
            self.schedule(&service, now);
        }
    }

    /// Delivers a decision to the waiting task; `from` is the pool owner that made it, `None` for
    /// the own pool.
    pub fn deliver_decision(
        &mut self,
        id: RequestId,
        decision: Decision,
        from: Option<EntryVmId>,
        now: Duration,
    ) {
        let number = id.1;
        if let Decision::Grant(grant) = &decision
            && from.is_some()
            && self.reject_stale_grant(number, grant, now)
        {
            return;
        }
        let Some(pending) = self.pending.remove(&number) else {
            self.return_unneeded_grant(id, &decision, from);
            return;
        };
        if let Decision::Grant(grant) = &decision {
            let slot = ActiveSlot {
                service: pending.request.service.clone(),
                grant: grant.clone(),
                owner: from,
                granted_at: now,
                expires_at: pending.sent_at + pending.request.deadline_left,
            };
            self.active_slots.insert(number, slot);
        }
        let waited = now.saturating_sub(pending.submitted_at).as_secs_f64();
        metrics::histogram!("gateway_admission_wait_seconds").record(waited);
        if pending.tx.try_send(decision).is_err() {
            // The waiting task was dropped in the meantime.
            self.end_request(number, Outcome::Unused, None, now);
        }
    }

    /// Checks a grant of another pool owner against the state of the server known here. If the
    /// server is leaving, evacuated or cold and the owner does not know it yet, returns the slot,
    /// requests another one and returns true.
    fn reject_stale_grant(&mut self, number: u64, grant: &Grant, now: Duration) -> bool {
        let Some(pending) = self.pending.get_mut(&number) else {
            return false;
        };
        let request = &mut pending.request;
        let checked = self
            .pools
            .get(&request.service)
            .map(|p| p.check_grant(grant, now));
        let Some(Err(outcome)) = checked else {
            return false;
        };
        metrics::counter!("gateway_grants_vetoed_total").increment(1);
        log::info!(
            "event=grant_vetoed server={} service={} reason={outcome:?}",
            grant.server,
            request.service
        );
        if outcome == Outcome::Leaving {
            request.excluded_servers.push(grant.server.clone());
        }
        let (id, service) = (request.id, request.service.clone());
        let address = pending
            .owner
            .as_ref()
            .and_then(|o| self.members.get(o))
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
        self.send_or_submit(number, now);
        true
    }

    /// Returns whether the server of an active slot is known to accept requests as granted.
    pub fn is_grant_valid(&self, number: u64, now: Duration) -> bool {
        self.active_slots.get(&number).is_some_and(|slot| {
            let pool = self.pools.get(&slot.service);
            pool.is_none_or(|p| p.check_grant(&slot.grant, now).is_ok())
        })
    }

    /// Returns a slot that is no longer needed, because the request has ended or was granted
    /// another slot.
    fn return_unneeded_grant(
        &mut self,
        id: RequestId,
        decision: &Decision,
        from: Option<EntryVmId>,
    ) {
        let Decision::Grant(grant) = decision else {
            return;
        };
        let duplicate = self
            .active_slots
            .get(&id.1)
            .is_some_and(|u| u.owner == from && u.grant == *grant);
        let address = from.and_then(|f| self.members.get(&f).map(|m| m.peers));
        if duplicate || self.unconfirmed_ends.contains_key(&id) {
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

impl PendingRequest {
    /// Time after which the request is sent again: short without an answer, longer once it is
    /// queued.
    pub fn resend_interval(&self) -> Duration {
        if self.unanswered == 0 && self.sent_at > self.submitted_at {
            QUEUED_CHECK_INTERVAL
        } else {
            REQUEST_RESEND_INTERVAL
        }
    }

    /// Records that the pool owner has queued the request.
    pub fn acknowledge(&mut self, now: Duration) {
        let passed = now
            .saturating_sub(self.sent_at)
            .max(Duration::from_nanos(1));
        self.request.target_left = self.request.target_left.saturating_sub(passed);
        self.request.deadline_left = self.request.deadline_left.saturating_sub(passed);
        self.request.waited += passed;
        self.sent_at = now.max(self.submitted_at + Duration::from_nanos(1));
        self.unanswered = 0;
    }
}
