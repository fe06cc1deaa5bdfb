//! Choice of the failure domain for one request: a stand-in for the domain selection of
//! `routing`, so that the limits can be measured across domains.

use std::time::Duration;

/// Age of the last sign of life after which a domain gets no more requests.
pub const SILENT: Duration = Duration::from_millis(1_500);

/// Load of a domain, as its entry VMs tell the others every second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Digest {
    /// Slots of its servers.
    pub slots: u32,
    /// Slots in use and waiting requests.
    pub load: u32,
}

/// What an entry VM knows about a domain.
#[derive(Clone, Copy, Debug, Default)]
pub struct Domain {
    /// Last digest.
    pub digest: Digest,
    /// Own relayed requests without response.
    pub relayed: u32,
    /// The same when the digest arrived.
    pub relayed_then: u32,
    /// Last digest or response.
    pub heard: Duration,
}

/// A domain that could run the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Index of the domain.
    pub domain: usize,
    /// Delay there and back.
    pub round_trip: Duration,
    /// What is known about it.
    pub known: Domain,
}

/// Chooses the domain with the smallest expected wait and delay, or `None` for the own one.
///
/// `crowd` is the number of entry VMs that probably decide the same way; `mean` is the mean
/// service time.
pub fn choose(
    now: Duration,
    local_wait: Duration,
    mean: Duration,
    crowd: u32,
    candidates: &[Candidate],
    rng: &mut fastrand::Rng,
) -> Option<usize> {
    let mut best: Option<(Duration, u32, usize)> = None;
    for c in candidates {
        let known = &c.known;
        if known.digest.slots == 0 || now.saturating_sub(known.heard) > SILENT {
            continue;
        }
        let added = known.relayed.saturating_sub(known.relayed_then) * crowd;
        let ahead = (known.digest.load + added + 1).saturating_sub(known.digest.slots);
        let wait = mean.mul_f64(f64::from(ahead) / f64::from(known.digest.slots));
        let candidate = (c.round_trip + wait, rng.u32(..), c.domain);
        if best.is_none_or(|b| candidate < b) {
            best = Some(candidate);
        }
    }
    best.filter(|(cost, ..)| *cost < local_wait)
        .map(|(.., domain)| domain)
}
