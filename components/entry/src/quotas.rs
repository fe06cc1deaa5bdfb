//! Quotas of the backend servers' slots for this entry VM.

use std::collections::BTreeSet;

use config::{EntryVmId, ServerId};
use limits::slots::{Quotas, split};
use membership::HeldMemberSets;

use crate::in_force::InForce;

/// Returns this VM's quota of each server's slots in the domain.
///
/// The quota is the smallest that any held member set assigns to the VM. Two VMs that receive each
/// other's heartbeats hold a common set, and within one set the quotas add up to the server's
/// slots.
pub fn own_quotas(cfg: &InForce, domain: &str, vm: &EntryVmId, members: &HeldMemberSets) -> Quotas {
    let servers: Vec<(ServerId, u32)> = cfg
        .configuration
        .inventory
        .servers
        .iter()
        .filter(|s| &*s.domain == domain)
        .map(|s| (s.id.clone(), s.slots))
        .collect();
    let vms: Vec<EntryVmId> = cfg.entry_vms_of(domain).map(|v| v.id.clone()).collect();
    let mut quotas: Option<Quotas> = None;
    for set in &members.sets {
        let absent: BTreeSet<EntryVmId> =
            vms.iter().filter(|v| !set.contains(v)).cloned().collect();
        let assigned = split(&servers, &vms, &absent)
            .remove(vm)
            .unwrap_or_default();
        quotas = Some(match quotas {
            None => assigned,
            Some(current) => min_quotas(current, &assigned),
        });
    }
    quotas.unwrap_or_else(|| servers.into_iter().map(|(id, _)| (id, 0)).collect())
}

/// Lowers each current quota to the assigned one; servers without an assigned quota get 0.
fn min_quotas(mut current: Quotas, assigned: &Quotas) -> Quotas {
    for (server, quota) in &mut current {
        *quota = (*quota).min(assigned.get(server).copied().unwrap_or(0));
    }
    current
}
