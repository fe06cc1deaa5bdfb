//! State of one entry VM process.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use binding::{Context, Identity, KeyRing};
use config::{Configuration, EntryVmId, Generation, Settings};
use error_stack::ResultExt;
use http::peer::Signature;
use runtime::Clock;

use crate::admission::Admission;
use crate::error::{Error, Result};
use crate::in_force::InForce;
use crate::work::WorkState;

/// State shared by all tasks of the process.
pub struct Node {
    /// Settings of the process.
    pub settings: Settings,
    /// Process clock.
    pub clock: Clock,
    /// Name and incarnation.
    pub identity: Identity,
    /// Keys for tickets and peer messages.
    pub keys: KeyRing,
    /// Admission to the servers of the domain.
    pub admission: Arc<Admission>,
    /// Binding work.
    pub work: Mutex<WorkState>,
    /// Configuration in force.
    in_force: RwLock<Option<Arc<InForce>>>,
    /// Set by the graceful shutdown.
    stopping: AtomicBool,
}

impl Node {
    /// Creates the state from checked settings.
    pub fn new(settings: Settings) -> Result<Arc<Node>> {
        let keys = KeyRing::new(&settings.keys).change_context(Error::Settings)?;
        let clock = Clock::start();
        let identity =
            Identity { vm: settings.id.clone(), incarnation: fastrand::u64(1..u64::MAX) };
        Ok(Arc::new(Node {
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

    /// Returns the uptime.
    pub fn now(&self) -> Duration {
        self.clock.uptime()
    }

    /// Returns the configuration in force.
    pub fn in_force(&self) -> Option<Arc<InForce>> {
        self.in_force.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the generation in force; 0 without one.
    pub fn generation(&self) -> Generation {
        self.in_force().map_or(0, |c| c.generation)
    }

    /// Puts a checked configuration in force unless a newer one is; tells whether it did.
    pub fn adopt(
        &self,
        generation: Generation,
        object: &str,
        bytes: Arc<[u8]>,
        configuration: Configuration,
        gone: &BTreeSet<EntryVmId>,
    ) -> bool {
        let next = Arc::new(InForce::new(generation, object.into(), bytes, configuration));
        let mut current = self.in_force.write().unwrap_or_else(PoisonError::into_inner);
        if current.as_ref().is_some_and(|c| c.generation >= generation) {
            return false;
        }
        self.admission.adopt(&next, &self.settings.domain, &self.identity.vm, gone);
        *current = Some(next);
        drop(current);
        metrics::gauge!("configuration_generation").set(generation as f64);
        log::info!("event=configuration_adopted generation={generation} object={object}");
        true
    }

    /// Tells whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Starts the graceful shutdown: no new work from now on.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
        let now = self.now();
        self.lock_work().records.stop(now + STOP_SEND_LIMIT);
    }

    /// Locks the state of binding work.
    pub fn lock_work(&self) -> MutexGuard<'_, WorkState> {
        self.work.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Signs a peer message.
    pub fn sign(&self, bytes: &[u8]) -> Signature {
        let (key, mac) = self.keys.sign(Context::PeerMessage, bytes);
        Signature { key, mac }
    }

    /// Checks the keyed hash of a peer message.
    pub fn verify(&self, signature: &Signature, bytes: &[u8]) -> bool {
        let valid =
            self.keys.verify(Context::PeerMessage, signature.key, bytes, &signature.mac);
        if !valid {
            metrics::counter!("peer_messages_refused_total").increment(1);
        }
        valid
    }
}

/// Time after the start of a shutdown in which accepted work may still be sent.
const STOP_SEND_LIMIT: Duration = Duration::from_secs(30);
