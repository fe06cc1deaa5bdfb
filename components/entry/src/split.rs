//! Slots of the backend servers that this entry VM may use.

use std::collections::BTreeSet;

use config::{EntryVmId, ServerId};
use limits::slots::{Quotas, split};
use membership::HeldMemberSets;

use crate::in_force::InForce;

/// Returns this VM's quota of each server's slots in the domain.
///
/// The VM may use what every set of members that it holds gives to it. Two VMs that hear each
/// other hold a common set, and within one set the quotas add up to the slots of the server.
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
        let gone: BTreeSet<EntryVmId> = vms.iter().filter(|v| !set.contains(v)).cloned().collect();
        let given = split(&servers, &vms, &gone).remove(vm).unwrap_or_default();
        quotas = Some(match quotas {
            None => given,
            Some(held) => smaller(held, &given),
        });
    }
    quotas.unwrap_or_else(|| servers.into_iter().map(|(id, _)| (id, 0)).collect())
}

fn smaller(mut held: Quotas, given: &Quotas) -> Quotas {
    for (server, quota) in &mut held {
        *quota = (*quota).min(given.get(server).copied().unwrap_or(0));
    }
    held
}
