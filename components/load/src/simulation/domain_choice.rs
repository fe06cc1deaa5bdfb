//! Chooses the failure domain of a request. Replaces the domain selection of `routing` by a simple
//! one, so that `limits` can be measured across domains.

use std::time::Duration;

/// Time without a digest or response after which a domain gets no more requests.
pub const DOMAIN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Load of a domain, sent to the entry VMs of all domains every second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Digest {
    /// Slots of the domain's servers.
    pub slots: u32,
    /// Slots in use plus waiting requests.
    pub load: u32,
}

/// What an entry VM knows about another domain.
#[derive(Clone, Copy, Debug, Default)]
pub struct DomainStatus {
    /// Most recent digest.
    pub digest: Digest,
    /// Requests that this VM relayed to the domain and that have no response yet.
    pub relayed: u32,
    /// Value of `relayed` when the last digest arrived.
    pub relayed_at_digest: u32,
    /// When the last digest or response arrived.
    pub last_heard: Duration,
}

/// A domain that could run the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    pub domain: usize,
    pub round_trip: Duration,
    pub status: DomainStatus,
}

/// Returns the domain with the lowest sum of expected wait and round trip, or `None` if that is not
/// below the expected wait in the own domain.
///
/// `deciders` is the number of entry VMs that are likely to make the same choice at the same time.
pub fn choose(
    now: Duration,
    local_wait: Duration,
    mean_service_time: Duration,
    deciders: u32,
    candidates: &[Candidate],
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let mut best: Option<(Duration, u32, usize)> = None;
    for c in candidates {
        let status = &c.status;
        if status.digest.slots == 0 || now.saturating_sub(status.last_heard) > DOMAIN_TIMEOUT {
            continue;
        }
        let added = status.relayed.saturating_sub(status.relayed_at_digest) * deciders;
        let ahead = (status.digest.load + added + 1).saturating_sub(status.digest.slots);
        let wait = mean_service_time.mul_f64(f64::from(ahead) / f64::from(status.digest.slots));
        let candidate = (c.round_trip + wait, rng.u32(..), c.domain);
        if best.is_none_or(|b| candidate < b) {
            best = Some(candidate);
        }
    }
    best.filter(|(cost, ..)| *cost < local_wait)
        .map(|(.., domain)| domain)
}
