//! Selection and order of the entry VMs in a look-up answer.

use std::time::Duration;

use config::{DomainId, EntryVmId, RegionId};
use fastrand::Rng;
use smallvec::SmallVec;

/// State of an entry VM as its peers last observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Accepts new requests.
    Ready,
    /// Starting, or without a recent heartbeat.
    Uncertain,
    /// Shutting down or drained: accepts no new requests.
    Leaving,
}

/// State of an entry VM as known to the VM that answers the look-up.
#[derive(Clone, Debug)]
pub struct EntryVmView {
    pub id: EntryVmId,
    pub domain: DomainId,
    pub region: RegionId,
    pub state: State,
    /// Free slots for the requested service.
    pub free_slots: u32,
}

/// Entry VMs of one answer, most preferred first.
pub type Order = SmallVec<[EntryVmId; 4]>;

/// Size, spread and lifetime of answers.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum number of VMs in an answer.
    pub max_vms: usize,
    /// Maximum number of VMs of the preferred domain while other domains have VMs. Callers must
    /// still hold a usable address when the preferred domain fails.
    pub max_preferred_domain: usize,
    /// Maximum number of VMs of the other domains in the preferred region.
    pub max_preferred_region: usize,
    /// Maximum lifetime of an answer.
    pub lifetime: Duration,
    /// Lifetime of an answer with fewer than two VMs or with a VM that is not ready.
    pub short_lifetime: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            max_vms: 4,
            max_preferred_domain: 2,
            max_preferred_region: 1,
            lifetime: Duration::from_secs(10),
            short_lifetime: Duration::from_secs(2),
        }
    }
}

/// Selects and orders entry VMs for a caller that prefers `domain` in `region`.
///
/// Ready VMs come first: those of the preferred domain, then of other domains in the region, then
/// of other regions. Uncertain VMs follow in the same order. Leaving VMs are used only if there
/// are no others. Within a tier the order is random, weighted by free slots plus one, so that
/// callers spread over the VMs and a VM that reports no free slot still receives some requests.
pub fn order(
    settings: &Settings,
    vms: &[EntryVmView],
    domain: &DomainId,
    region: &RegionId,
    rng: &mut Rng,
) -> Order {
    // Only the first VMs of each tier are collected: sorting all VMs takes several times as long
    // at 600 VMs.
    let mut tiers: [TierHead; 9] = Default::default();
    for (i, vm) in vms.iter().enumerate() {
        let head = &mut tiers[tier(vm, domain, region)];
        let key = sort_key(vm.free_slots, rng);
        let position = head.partition_point(|(k, _)| *k < key);
        if position < settings.max_vms {
            head.truncate(settings.max_vms - 1);
            head.insert(position, (key, i));
        }
    }
    if tiers[..FIRST_LEAVING_TIER].iter().any(|t| !t.is_empty()) {
        tiers[FIRST_LEAVING_TIER..].fill(TierHead::new());
    }
    let chosen = choose(settings, &tiers);
    chosen.into_iter().map(|i| vms[i].id.clone()).collect()
}

/// Returns the lifetime of an answer.
///
/// It is short if the answer has fewer than two VMs or one that is not ready, so that callers
/// refresh it soon. Otherwise it is reduced by a random part of up to 20% so that callers do not
/// repeat their look-ups at the same time.
pub fn lifetime(
    settings: &Settings,
    vms: &[EntryVmView],
    order: &Order,
    rng: &mut Rng,
) -> Duration {
    let ready = |id: &EntryVmId| vms.iter().any(|v| v.id == *id && v.state == State::Ready);
    if order.len() < 2 || !order.iter().all(ready) {
        return settings.short_lifetime;
    }
    settings.lifetime.mul_f64(1.0 - 0.2 * rng.f64())
}

/// Index of the first tier that holds leaving VMs.
const FIRST_LEAVING_TIER: usize = 6;

/// First VMs of a tier as (sort key, index) in ascending order of the key.
type TierHead = SmallVec<[(f64, usize); 4]>;

fn tier(vm: &EntryVmView, domain: &DomainId, region: &RegionId) -> usize {
    let state = match vm.state {
        State::Ready => 0,
        State::Uncertain => 3,
        State::Leaving => FIRST_LEAVING_TIER,
    };
    let distance = if vm.domain == *domain {
        0
    } else {
        1 + usize::from(vm.region != *region)
    };
    state + distance
}

/// Exponential variate whose rate is the VM's weight. Sorting by it gives a weighted random sample
/// without replacement.
fn sort_key(free_slots: u32, rng: &mut Rng) -> f64 {
    -(1.0 - rng.f64()).ln() / (f64::from(free_slots) + 1.0)
}

/// Selects VMs in tier order up to the limit of each tier, then fills the remaining places with
/// further VMs regardless of the tier limits.
fn choose(settings: &Settings, tiers: &[TierHead]) -> SmallVec<[usize; 4]> {
    let tier_limit = |tier: usize| match tier {
        0 => settings.max_preferred_domain,
        1 => settings.max_preferred_region,
        _ => settings.max_vms,
    };
    let mut remaining = settings.max_vms;
    let mut counts: SmallVec<[usize; 9]> = SmallVec::new();
    for (tier, head) in tiers.iter().enumerate() {
        let count = head.len().min(tier_limit(tier)).min(remaining);
        remaining -= count;
        counts.push(count);
    }
    for (count, head) in counts.iter_mut().zip(tiers) {
        let extra = (head.len() - *count).min(remaining);
        remaining -= extra;
        *count += extra;
    }
    let taken = tiers.iter().zip(counts);
    taken
        .flat_map(|(head, count)| head[..count].iter().map(|(_, i)| *i))
        .collect()
}
