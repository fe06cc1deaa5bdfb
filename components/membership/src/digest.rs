//! Digests: summaries of the free slots per service in other failure domains.

use std::collections::BTreeMap;
use std::time::Duration;

use config::{DomainId, EntryVmId, Generation, ServiceId};
use serde::{Deserialize, Serialize};

use crate::settings::MembershipSettings;

/// Summary of a failure domain, sent by one of its entry VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Failure domain that the digest describes.
    pub domain: DomainId,
    /// Entry VM that sent the digest.
    pub vm: EntryVmId,
    /// Newest configuration generation known to the sender.
    pub generation: Generation,
    /// Free slots per service.
    pub free_slots: BTreeMap<ServiceId, u32>,
    /// Age of the data when it was sent.
    pub age: Duration,
}

/// Wire format of a digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestWire {
    /// Failure domain that the digest describes.
    pub domain: Box<str>,
    /// Entry VM that sent the digest.
    pub vm: Box<str>,
    /// Newest configuration generation known to the sender.
    pub generation: u64,
    /// Free slots per service.
    pub free_slots: Vec<(Box<str>, u32)>,
    /// Age of the data in milliseconds when it was sent.
    pub age_ms: u64,
}

impl From<&Digest> for DigestWire {
    fn from(digest: &Digest) -> Self {
        let slots = digest.free_slots.iter();
        DigestWire {
            domain: digest.domain.clone(),
            vm: digest.vm.clone(),
            generation: digest.generation,
            free_slots: slots.map(|(id, n)| (id.clone(), *n)).collect(),
            age_ms: digest.age.as_millis() as u64,
        }
    }
}

impl From<DigestWire> for Digest {
    fn from(wire: DigestWire) -> Self {
        Digest {
            domain: wire.domain,
            vm: wire.vm,
            generation: wire.generation,
            free_slots: wire.free_slots.into_iter().collect(),
            age: Duration::from_millis(wire.age_ms),
        }
    }
}

/// Newest digest of each other failure domain.
#[derive(Debug, Default)]
pub struct Digests {
    /// Time of arrival and digest, per domain.
    by_domain: BTreeMap<DomainId, (Duration, Digest)>,
}

impl Digests {
    /// Stores a digest unless a newer one of its domain is known. Returns whether it was stored.
    pub fn on_digest(&mut self, digest: Digest, now: Duration) -> bool {
        let age = digest.age;
        if self
            .get(&digest.domain, now)
            .is_some_and(|(known, _)| known < age)
        {
            return false;
        }
        self.by_domain.insert(digest.domain.clone(), (now, digest));
        true
    }

    /// Returns the digest of a domain and its current age.
    pub fn get(&self, domain: &str, now: Duration) -> Option<(Duration, &Digest)> {
        let (at, digest) = self.by_domain.get(domain)?;
        Some((now.saturating_sub(*at) + digest.age, digest))
    }

    /// Returns the weight of a domain's digest, from 0 to 1. It halves with each
    /// `digest_half_life` and is 0 from `digest_max_age` on.
    pub fn weight(&self, domain: &str, now: Duration, settings: &MembershipSettings) -> f64 {
        match self.get(domain, now) {
            Some((age, _)) if age < settings.digest_max_age => {
                let half_lives = age.as_secs_f64() / settings.digest_half_life.as_secs_f64();
                0.5_f64.powf(half_lives)
            }
            _ => 0.0,
        }
    }

    /// Returns the free slots of a service in a domain, weighted by the age of the digest.
    pub fn free_slots(
        &self,
        domain: &str,
        service: &str,
        now: Duration,
        settings: &MembershipSettings,
    ) -> f64 {
        let slots = self.get(domain, now).map(|(_, digest)| digest);
        let slots = slots.and_then(|digest| digest.free_slots.get(service));
        f64::from(slots.copied().unwrap_or(0)) * self.weight(domain, now, settings)
    }

    /// Removes the digests of domains for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.by_domain.retain(|domain, _| is_known(domain));
    }

    /// Returns the newest configuration generation among the digests and the VM that sent it.
    pub fn newest_generation(&self) -> Option<(Generation, &EntryVmId)> {
        let digests = self.by_domain.values().map(|(_, digest)| digest);
        digests
            .map(|digest| (digest.generation, &digest.vm))
            .max_by_key(|(generation, _)| *generation)
    }
}
