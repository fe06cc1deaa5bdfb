//! Digests: free slots per service in other failure domains.

use std::collections::BTreeMap;
use std::time::Duration;

use config::{DomainId, EntryVmId, Generation, ServiceId};
use serde::{Deserialize, Serialize};

use crate::settings::MemberSettings;

/// Summary of a failure domain by one of its entry VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Domain that it describes.
    pub domain: DomainId,
    /// Entry VM that sent it.
    pub vm: EntryVmId,
    /// Newest configuration known there.
    pub generation: Generation,
    /// Free slots per service.
    pub free_slots: BTreeMap<ServiceId, u32>,
    /// Age of the figures when they were sent.
    pub age: Duration,
}

/// Digest as sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestWire {
    /// Domain that it describes.
    pub domain: Box<str>,
    /// Entry VM that sent it.
    pub vm: Box<str>,
    /// Newest configuration known there.
    pub generation: u64,
    /// Free slots per service.
    pub free_slots: Vec<(Box<str>, u32)>,
    /// Age of the figures in milliseconds.
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

/// Newest digest per other failure domain.
#[derive(Debug, Default)]
pub struct Digests {
    /// Digest and the uptime at which it arrived.
    by_domain: BTreeMap<DomainId, (Duration, Digest)>,
}

impl Digests {
    /// Takes a digest unless a younger one of its domain is known; returns whether it was taken.
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

    /// Digest of a domain with its age.
    pub fn get(&self, domain: &str, now: Duration) -> Option<(Duration, &Digest)> {
        let (at, digest) = self.by_domain.get(domain)?;
        Some((now.saturating_sub(*at) + digest.age, digest))
    }

    /// Worth of a domain's digest between 0 and 1; it halves with each half-life of its age.
    pub fn weight(&self, domain: &str, now: Duration, settings: &MemberSettings) -> f64 {
        match self.get(domain, now) {
            Some((age, _)) if age < settings.digest_limit => {
                let half_lives = age.as_secs_f64() / settings.digest_half_life.as_secs_f64();
                0.5_f64.powf(half_lives)
            }
            _ => 0.0,
        }
    }

    /// Free slots of a service in a domain, discounted by age.
    pub fn free_slots(
        &self,
        domain: &str,
        service: &str,
        now: Duration,
        settings: &MemberSettings,
    ) -> f64 {
        let slots = self.get(domain, now).map(|(_, digest)| digest);
        let slots = slots.and_then(|digest| digest.free_slots.get(service));
        f64::from(slots.copied().unwrap_or(0)) * self.weight(domain, now, settings)
    }

    /// Domains without a place in the configuration any more are forgotten.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.by_domain.retain(|domain, _| is_known(domain));
    }

    /// Newest configuration among the digests and who has it.
    pub fn newest_generation(&self) -> Option<(Generation, &EntryVmId)> {
        let digests = self.by_domain.values().map(|(_, digest)| digest);
        digests
            .map(|digest| (digest.generation, &digest.vm))
            .max_by_key(|(generation, _)| *generation)
    }
}
