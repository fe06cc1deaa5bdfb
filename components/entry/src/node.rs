//! State of one entry VM process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use binding::{KeyContext, KeyRing, ProcessIdentity};
use config::{Configuration, EntryVmId, Generation, RegionId, ServiceId, Settings};
use error_stack::ResultExt;
use http::client::ClientOptions;
use http::peer::Signature;
use membership::{Membership, MembershipSettings, ProcessState};
use platform::{Client, ClientSettings};
use runtime::Clock;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::admission::Admission;
use crate::claims::Claims;
use crate::error::{Error, Result};
use crate::in_force::InForce;
use crate::links::Links;
use crate::loans::Loans;
use crate::look_up::ViewCache;
use crate::quotas::own_quotas;
use crate::reach::{self, Reachable};
use crate::steer::TrafficSteering;
use crate::work::WorkState;

/// Time after the start of a graceful shutdown during which accepted work may still be sent to
/// servers.
const STOP_SEND_LIMIT: Duration = Duration::from_secs(30);

/// State shared by all tasks of the process.
pub struct Node {
    pub settings: Settings,
    pub clock: Clock,
    /// VM id and incarnation.
    pub identity: ProcessIdentity,
    /// Keys that sign tickets and peer messages.
    pub keys: KeyRing,
    /// Admission to the servers of the domain.
    pub admission: Arc<Admission>,
    /// Records and state of binding work.
    pub work: Mutex<WorkState>,
    /// Filter for outgoing connections.
    pub reachable: Reachable,
    /// Choice of the failure domain.
    pub steering: TrafficSteering,
    /// Free slots per service that each peer has reported.
    peer_free_slots: Mutex<BTreeMap<EntryVmId, BTreeMap<ServiceId, u32>>>,
    /// Slots borrowed from peers.
    pub loans: Loans,
    /// Pacing of the bytes sent to other regions.
    pub links: Links,
    /// Cached views of the entry VMs for look-ups.
    pub views: ViewCache,
    /// Claims of keys that callers supplied.
    pub claims: Claims,
    pub platform: Client,
    /// Members of the failure domain and digests of the other domains.
    membership: Mutex<Membership>,
    /// Newest generation that each peer has announced as settled.
    peer_settled: Mutex<BTreeMap<EntryVmId, Generation>>,
    /// Number of nonces issued by this process.
    nonces: AtomicU64,
    /// Configuration in force; `None` before the first one.
    in_force: RwLock<Option<Arc<InForce>>>,
    /// Whether a graceful shutdown has started.
    stopping: AtomicBool,
}

impl Node {
    /// Creates the state from validated settings.
    pub fn new(settings: Settings, reachable: Reachable) -> Result<Arc<Node>> {
        let keys = KeyRing::new(&settings.keys).change_context(Error::Settings)?;
        let clock = Clock::start();
        let identity = ProcessIdentity {
            vm: settings.id.clone(),
            incarnation: fastrand::u64(1..u64::MAX),
        };
        let membership = new_membership(&identity, [], clock.uptime());
        Ok(Arc::new(Node {
            platform: Client::new(ClientSettings {
                addresses: settings.platform.clone(),
                ..ClientSettings::default()
            }),
            reachable,
            steering: TrafficSteering::default(),
            loans: Loans::default(),
            links: Links::default(),
            peer_free_slots: Mutex::new(BTreeMap::new()),
            views: ViewCache::default(),
            claims: Claims::new(identity.clone()),
            membership: Mutex::new(membership),
            peer_settled: Mutex::new(BTreeMap::new()),
            nonces: AtomicU64::new(0),
            clock,
            identity,
            keys,
            admission: Admission::new(clock, fastrand::Rng::new()),
            work: Mutex::new(WorkState::default()),
            in_force: RwLock::new(None),
            stopping: AtomicBool::new(false),
            settings,
        }))
    }

    /// Returns the uptime of the process.
    pub fn now(&self) -> Duration {
        self.clock.uptime()
    }

    /// Returns the platform's time in milliseconds since the Unix epoch, or the local wall clock
    /// before the first answer of the platform.
    pub fn platform_ms(&self) -> u64 {
        self.platform.time_ms().unwrap_or_else(Clock::wall_ms)
    }

    pub fn in_force(&self) -> Option<Arc<InForce>> {
        self.in_force
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the region of a failure domain if it differs from this VM's region.
    pub fn other_region(&self, domain: &str) -> Option<RegionId> {
        let cfg = self.in_force()?;
        let region = cfg.region(domain)?;
        (cfg.region(&self.settings.domain) != Some(region)).then(|| region.clone())
    }

    /// Returns the generation in force; 0 without a configuration.
    pub fn generation(&self) -> Generation {
        self.in_force().map_or(0, |c| c.generation)
    }

    /// Puts a validated configuration in force unless the current one is as new or newer. Returns
    /// whether it did.
    pub fn adopt(
        &self,
        generation: Generation,
        object: &str,
        bytes: Arc<[u8]>,
        configuration: Configuration,
    ) -> bool {
        let next = Arc::new(InForce::new(
            generation,
            object.into(),
            bytes,
            configuration,
        ));
        let mut current = self
            .in_force
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        if current.as_ref().is_some_and(|c| c.generation >= generation) {
            return false;
        }
        self.admission.adopt(&next, &self.settings.domain);
        self.adopt_members(&next, current.is_none());
        let region = next
            .region(&self.settings.domain)
            .cloned()
            .unwrap_or_default();
        self.links.adopt(&next, &region, self.now());
        *current = Some(next);
        drop(current);
        self.update_quotas();
        metrics::gauge!("configuration_generation").set(generation as f64);
        log::info!("event=configuration_adopted generation={generation} object={object}");
        true
    }

    fn adopt_members(&self, cfg: &InForce, is_first: bool) {
        let now = self.now();
        let domain = &self.settings.domain;
        let vms = cfg.entry_vms_of(domain).map(|v| v.id.clone());
        let mut membership = self.lock_membership();
        if is_first {
            // The new membership must contain the peers from the start. Without them this VM would
            // be the only member and use all slots.
            let vms: Vec<EntryVmId> = vms.collect();
            *membership = new_membership(&self.identity, vms, now);
            membership.set_state(ProcessState::Ready);
        } else {
            membership.on_configuration(vms, now);
            membership
                .digests
                .retain(|id| cfg.domains().iter().any(|d| &*d.id == id));
        }
    }

    /// Recomputes this VM's quotas from the member sets that it holds.
    pub fn update_quotas(&self) {
        let Some(cfg) = self.in_force() else { return };
        let members = self.lock_membership().held_member_sets(self.now());
        let quotas = own_quotas(&cfg, &self.settings.domain, &self.identity.vm, &members);
        let settled = self
            .peer_settled
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let peers_settled = members.sets.iter().flatten().all(|vm| {
            *vm == self.identity.vm || settled.get(vm).is_some_and(|g| *g >= cfg.generation)
        });
        drop(settled);
        let counted = !members.sets.is_empty();
        self.admission
            .set_quotas(cfg.generation, quotas, counted, peers_settled);
    }

    /// Records the newest generation that a peer has announced as settled.
    pub fn set_peer_settled(&self, vm: &EntryVmId, generation: Generation) {
        let mut settled = self
            .peer_settled
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        settled.insert(vm.clone(), generation);
    }

    /// Records the free slots per service from a heartbeat of a peer.
    pub fn set_peer_free_slots(&self, vm: &EntryVmId, free: BTreeMap<ServiceId, u32>) {
        let mut free_slots = self
            .peer_free_slots
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        free_slots.insert(vm.clone(), free);
    }

    /// Returns the peer address of a random look-up candidate that has reported at least two free
    /// slots of a service.
    pub fn peer_with_free_slots(&self, service: &ServiceId) -> Option<SocketAddr> {
        let cfg = self.in_force()?;
        let candidates = self.lock_membership().look_up_candidates(self.now());
        let free_slots = self
            .peer_free_slots
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let has_spare_slots =
            |free: &BTreeMap<ServiceId, u32>| free.get(service).is_some_and(|n| *n > 1);
        let peers: Vec<&EntryVmId> = free_slots
            .iter()
            .filter(|(vm, free)| candidates.contains(vm) && has_spare_slots(free))
            .map(|(vm, _)| vm)
            .collect();
        let peer = fastrand::Rng::new().choice(&peers).copied()?;
        cfg.entry_vm(peer).map(|vm| vm.peer_address)
    }

    /// Returns the free slots per service of the whole failure domain: those of this VM and of the
    /// peers that are look-up candidates.
    pub fn domain_free_slots(&self) -> BTreeMap<ServiceId, u32> {
        let mut sum = self.admission.free_slots();
        let now = self.now();
        let candidates = self.lock_membership().look_up_candidates(now);
        let free_slots = self
            .peer_free_slots
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for (_, free) in free_slots.iter().filter(|(vm, _)| candidates.contains(vm)) {
            for (service, n) in free {
                *sum.entry(service.clone()).or_default() += n;
            }
        }
        sum
    }

    /// Returns a nonce for a ticket, unique among all tickets.
    pub fn next_nonce(&self) -> [u8; 16] {
        let number = self.nonces.fetch_add(1, Ordering::Relaxed);
        let mut nonce = [0; 16];
        nonce[..8].copy_from_slice(&fastrand::u64(..).to_be_bytes());
        // The counter keeps the nonces of one process distinct even if the random numbers repeat.
        nonce[8..].copy_from_slice(&number.to_be_bytes());
        nonce
    }

    pub fn lock_membership(&self) -> MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether a graceful shutdown has started.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Starts the graceful shutdown: accepts no new work and announces the state `Leaving` to
    /// peers.
    pub fn begin_shutdown(&self) {
        self.stopping.store(true, Ordering::Release);
        let now = self.now();
        self.lock_work().records.stop(now + STOP_SEND_LIMIT);
        self.lock_membership().set_state(ProcessState::Leaving);
    }

    pub fn lock_work(&self) -> MutexGuard<'_, WorkState> {
        self.work.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn sign(&self, bytes: &[u8]) -> Signature {
        let (key_id, mac) = self.keys.sign(KeyContext::PeerMessage, bytes);
        Signature { key_id, mac }
    }

    /// Sends a message to a peer and returns its answer.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &Q,
        options: &ClientOptions,
    ) -> http::Result<A> {
        let tcp = reach::connect(&self.reachable, address, options.connect_timeout).await?;
        http::peer::call(tcp, path, message, |bytes| self.sign(bytes), options).await
    }

    /// Verifies the keyed hash of a peer message.
    pub fn verify(&self, signature: &Signature, bytes: &[u8]) -> bool {
        self.keys.verify(
            KeyContext::PeerMessage,
            signature.key_id,
            bytes,
            &signature.mac,
        )
    }
}

fn new_membership(
    identity: &ProcessIdentity,
    configured: impl IntoIterator<Item = EntryVmId>,
    now: Duration,
) -> Membership {
    let settings = MembershipSettings::default();
    Membership::new(
        settings,
        identity.vm.clone(),
        identity.incarnation,
        configured,
        now,
    )
}
