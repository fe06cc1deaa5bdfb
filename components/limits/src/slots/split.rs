//! Deterministic division of slots.

use std::collections::{BTreeMap, BTreeSet};

use config::{EntryVmId, ServerId};

/// Slots per server that one entry VM may use.
pub type Parts = BTreeMap<ServerId, u32>;

/// Slots of a server, and the entry VMs in the order in which they may own each one.
struct Unit<'a> {
    server: &'a ServerId,
    order: Vec<&'a EntryVmId>,
}

/// Divides the slots of each server among the configured entry VMs of the domain.
///
/// With no VM gone, the sums per VM differ by at most one. Each slot of a gone VM goes to the
/// first one in its own rendezvous order that is not gone. That order depends on nothing but
/// the configuration, so two VMs that count each other as present never claim the same slot,
/// even if they disagree about a third one.
pub fn split(
    servers: &[(ServerId, u32)],
    vms: &[EntryVmId],
    gone: &BTreeSet<EntryVmId>,
) -> BTreeMap<EntryVmId, Parts> {
    let mut parts: BTreeMap<EntryVmId, Parts> = BTreeMap::new();
    for vm in vms.iter().filter(|vm| !gone.contains(*vm)) {
        let none = servers.iter().map(|(id, _)| (id.clone(), 0));
        parts.insert(vm.clone(), none.collect());
    }
    for unit in units(servers, vms) {
        let owner = unit.order.into_iter().find(|vm| !gone.contains(*vm));
        let part = owner.and_then(|vm| parts.get_mut(vm)?.get_mut(unit.server));
        if let Some(part) = part {
            *part += 1;
        }
    }
    parts
}

fn units<'a>(servers: &'a [(ServerId, u32)], vms: &'a [EntryVmId]) -> Vec<Unit<'a>> {
    let vms: BTreeSet<&EntryVmId> = vms.iter().collect();
    let servers: BTreeMap<&ServerId, u32> = servers.iter().map(|(id, n)| (id, *n)).collect();
    let mut sums: BTreeMap<&EntryVmId, u32> = vms.iter().map(|vm| (*vm, 0)).collect();
    let mut units = Vec::new();
    for (server, slots) in servers {
        for slot in 0..slots {
            let mut order: Vec<&EntryVmId> = vms.iter().copied().collect();
            order.sort_by_cached_key(|vm| rank(server, slot, vm));
            // The VM with the smallest sum comes first, ties in rendezvous order.
            let first = (0..order.len()).min_by_key(|i| sums[order[*i]]);
            let Some(first) = first else {
                return Vec::new();
            };
            let owner = order.remove(first);
            *sums.entry(owner).or_default() += 1;
            order.insert(0, owner);
            units.push(Unit { server, order });
        }
    }
    units
}

/// Rendezvous rank; the same on every machine.
fn rank(server: &ServerId, slot: u32, vm: &EntryVmId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(server.len() as u64).to_le_bytes());
    hasher.update(server.as_bytes());
    hasher.update(&slot.to_le_bytes());
    hasher.update(vm.as_bytes());
    let hash = hasher.finalize();
    let (first, _) = hash.as_bytes().split_at(8);
    u64::from_le_bytes(first.try_into().expect("a hash has 32 bytes"))
}
