//! Order of the entry VMs in a look-up answer.

use std::time::Duration;

use config::{DomainId, EntryVmId, RegionId};
use fastrand::Rng;
use smallvec::SmallVec;

/// State of an entry VM as its peers know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Takes new work.
    Ready,
    /// Not ready yet, or not heard for a while.
    Uncertain,
    /// Leaving or drained: takes no new work.
    Leaving,
}

/// What an answering entry VM knows of an entry VM.
#[derive(Clone, Debug)]
pub struct EntryVmView {
    /// Name.
    pub id: EntryVmId,
    /// Failure domain that it runs in.
    pub domain: DomainId,
    /// Region of the domain.
    pub region: RegionId,
    /// State.
    pub state: State,
    /// Free slots for the service.
    pub free: u32,
}

/// Names of the VMs of one answer, best first.
pub type Order = SmallVec<[EntryVmId; 4]>;

/// Shape of an answer.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Most VMs in an answer.
    pub count: usize,
    /// Most VMs of the preferred domain while VMs of other domains are there. Callers must have
    /// an address left when the domain fails.
    pub preferred: usize,
    /// The same for the rest of the preferred region.
    pub region: usize,
    /// Longest lifetime of an answer.
    pub lifetime: Duration,
    /// Lifetime of an answer that is not in a normal state.
    pub short_lifetime: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            count: 4,
            preferred: 2,
            region: 1,
            lifetime: Duration::from_secs(10),
            short_lifetime: Duration::from_secs(2),
        }
    }
}

/// Orders entry VMs for a caller that prefers a domain of a region.
///
/// Ready VMs come first: of the preferred domain, of other domains of the region, of other
/// regions. Uncertain ones follow, and leaving ones only if nothing else is there. Within a tier
/// the order is random in proportion to free slots plus one, so callers spread over the VMs and
/// a VM that reports no free slot still gets a little work.
pub fn order(
    settings: &Settings,
    vms: &[EntryVmView],
    domain: &DomainId,
    region: &RegionId,
    rng: &mut Rng,
) -> Order {
    // The first few of each tier are kept while passing: sorting all of 600 VMs took several
    // times as long.
    let mut tiers: [Best; 9] = Default::default();
    for (i, vm) in vms.iter().enumerate() {
        let best = &mut tiers[tier(vm, domain, region)];
        let key = key(vm.free, rng);
        let at = best.partition_point(|(k, _)| *k < key);
        if at < settings.count {
            best.truncate(settings.count - 1);
            best.insert(at, (key, i));
        }
    }
    if tiers[..LEAVING].iter().any(|t| !t.is_empty()) {
        tiers[LEAVING..].fill(Best::new());
    }
    let chosen = choose(settings, &tiers);
    chosen.into_iter().map(|i| vms[i].id.clone()).collect()
}

/// Lifetime of an answer: short while one of its VMs is not ready or there is only one, so that
/// callers soon ask again; else shortened at random by up to a fifth to spread the next look-ups.
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

/// First tier of leaving VMs.
const LEAVING: usize = 6;

/// First VMs of a tier, by key.
type Best = SmallVec<[(f64, usize); 4]>;

fn tier(vm: &EntryVmView, domain: &DomainId, region: &RegionId) -> usize {
    let state = match vm.state {
        State::Ready => 0,
        State::Uncertain => 3,
        State::Leaving => LEAVING,
    };
    let place = if vm.domain == *domain {
        0
    } else {
        1 + usize::from(vm.region != *region)
    };
    state + place
}

/// Exponential variate with the VM's weight as rate: sorting by it draws without replacement in
/// proportion to the weights.
fn key(free: u32, rng: &mut Rng) -> f64 {
    -(1.0 - rng.f64()).ln() / (f64::from(free) + 1.0)
}

/// Takes the first VMs, at most so many of each tier; further ones fill places that stay empty.
fn choose(settings: &Settings, tiers: &[Best]) -> SmallVec<[usize; 4]> {
    let most = |tier: usize| match tier {
        0 => settings.preferred,
        1 => settings.region,
        _ => settings.count,
    };
    let mut left = settings.count;
    let mut counts: SmallVec<[usize; 9]> = SmallVec::new();
    for (tier, best) in tiers.iter().enumerate() {
        let count = best.len().min(most(tier)).min(left);
        left -= count;
        counts.push(count);
    }
    for (count, best) in counts.iter_mut().zip(tiers) {
        let more = (best.len() - *count).min(left);
        left -= more;
        *count += more;
    }
    let taken = tiers.iter().zip(counts);
    taken
        .flat_map(|(best, count)| best[..count].iter().map(|(_, i)| *i))
        .collect()
}
