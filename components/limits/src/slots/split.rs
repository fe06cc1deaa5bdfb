//! Deterministic division of the slots of servers into quotas.

use std::collections::{BTreeMap, BTreeSet};

use config::{EntryVmId, ServerId};

/// Slots per server that one entry VM may use.
pub type Quotas = BTreeMap<ServerId, u32>;

/// A slot of a server, and the entry VMs that may own it in order of precedence.
struct SlotCandidates<'a> {
    server: &'a ServerId,
    candidates: Vec<&'a EntryVmId>,
}

/// Divides the slots of each server among the configured entry VMs of the domain.
///
/// With no VM gone, the totals per VM differ by at most one. Each slot of a gone VM goes to the
/// first VM in the rendezvous order of that slot that is not gone. The order depends only on the
/// configuration, so two VMs that consider each other present never claim the same slot, even if
/// they disagree about a third VM.
pub fn split(
    servers: &[(ServerId, u32)],
    vms: &[EntryVmId],
    gone: &BTreeSet<EntryVmId>,
) -> BTreeMap<EntryVmId, Quotas> {
    let mut quotas: BTreeMap<EntryVmId, Quotas> = BTreeMap::new();
    for vm in vms.iter().filter(|vm| !gone.contains(*vm)) {
        let zeros = servers.iter().map(|(id, _)| (id.clone(), 0));
        quotas.insert(vm.clone(), zeros.collect());
    }
    for slot in slot_candidates(servers, vms) {
        let owner = slot.candidates.into_iter().find(|vm| !gone.contains(*vm));
        let quota = owner.and_then(|vm| quotas.get_mut(vm)?.get_mut(slot.server));
        if let Some(quota) = quota {
            *quota += 1;
        }
    }
    quotas
}

fn slot_candidates<'a>(
    servers: &'a [(ServerId, u32)],
    vms: &'a [EntryVmId],
) -> Vec<SlotCandidates<'a>> {
    let vms: BTreeSet<&EntryVmId> = vms.iter().collect();
    let servers: BTreeMap<&ServerId, u32> = servers.iter().map(|(id, n)| (id, *n)).collect();
    let mut totals: BTreeMap<&EntryVmId, u32> = vms.iter().map(|vm| (*vm, 0)).collect();
    let mut slot_candidates = Vec::new();
    for (server, slots) in servers {
        for slot in 0..slots {
            let mut candidates: Vec<&EntryVmId> = vms.iter().copied().collect();
            candidates.sort_by_cached_key(|vm| rank(server, slot, vm));
            // The VM with the smallest total comes first, ties in rendezvous order.
            let first = (0..candidates.len()).min_by_key(|i| totals[candidates[*i]]);
            let Some(first) = first else {
                return Vec::new();
            };
            let owner = candidates.remove(first);
            *totals.entry(owner).or_default() += 1;
            candidates.insert(0, owner);
            slot_candidates.push(SlotCandidates { server, candidates });
        }
    }
    slot_candidates
}

/// Rendezvous hash of a slot and a VM; equal on all VMs.
fn rank(server: &ServerId, slot: u32, vm: &EntryVmId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(server.len() as u64).to_le_bytes());
    hasher.update(server.as_bytes());
    hasher.update(&slot.to_le_bytes());
    hasher.update(vm.as_bytes());
    let hash = hasher.finalize();
    let (first, _) = hash.as_bytes().split_at(8);
    u64::from_le_bytes(first.try_into().expect("a BLAKE3 hash has 32 bytes"))
}
