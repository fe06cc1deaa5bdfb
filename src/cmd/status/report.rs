//! Report that `status` prints.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use config::{Configuration, DomainId, EntryVm, EntryVmId, Generation, RegionId};
use entry::operator::{PeerLiveness, ServerState, Status};
use serde::Serialize;

use super::StatusResult;

/// State of all entry VMs.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Whether every entry VM responds and has the newest generation.
    pub ok: bool,
    newest_generation: Generation,
    /// Source of the newest generation: `platform` or `entry_vms`.
    newest_from: &'static str,
    /// Number of entry VMs in the inventory.
    entry_vms: usize,
    /// Number of entry VMs that respond.
    answering: usize,
    /// Number of entry VMs that have the newest generation.
    newest: usize,
    domains: Vec<DomainReport>,
}

/// State of the entry VMs of one failure domain.
#[derive(Debug, Serialize)]
struct DomainReport {
    id: DomainId,
    region: RegionId,
    /// Whether the failure domain or its region is drained; always false with `--inventory`.
    drained: bool,
    entry_vms: Vec<VmReport>,
}

/// State of one entry VM.
#[derive(Debug, Serialize)]
struct VmReport {
    id: EntryVmId,
    operator_address: SocketAddr,
    /// Whether the entry VM is drained; always false with `--inventory`.
    drained: bool,
    /// Whether it responds with its own id.
    reachable: bool,
    /// Whether it has the newest generation.
    newest: bool,
    /// Why it is not reachable.
    error: Option<String>,
    status: Option<Status>,
}

impl Report {
    /// Builds the report. The newest generation is the highest of those reported and `newest`.
    pub fn new(
        configuration: &Configuration,
        newest: Option<Generation>,
        mut results: BTreeMap<EntryVmId, StatusResult>,
    ) -> Report {
        let reported = results.values().flatten().map(|s| s.generation);
        let newest_generation = reported.chain(newest).max().unwrap_or(0);
        let inventory = &configuration.inventory;
        let domains: Vec<DomainReport> = inventory
            .domains
            .iter()
            .map(|domain| DomainReport {
                id: domain.id.clone(),
                region: domain.region.clone(),
                drained: config::domain_is_drained(configuration, &domain.id),
                entry_vms: inventory
                    .entry_vms
                    .iter()
                    .filter(|vm| vm.domain == domain.id)
                    .map(|vm| {
                        let result = results.remove(&vm.id);
                        let drained = configuration.rules.drains.entry_vms.contains(&vm.id);
                        VmReport::new(vm, drained, result, newest_generation)
                    })
                    .collect(),
            })
            .collect();
        let vms = || domains.iter().flat_map(|d| &d.entry_vms);
        let entry_vms = vms().count();
        let newest_vms = vms().filter(|vm| vm.newest).count();
        Report {
            ok: newest_vms == entry_vms,
            newest_generation,
            newest_from: if newest.is_some() {
                "platform"
            } else {
                "entry_vms"
            },
            entry_vms,
            answering: vms().filter(|vm| vm.reachable).count(),
            newest: newest_vms,
            domains,
        }
    }
}

impl VmReport {
    fn new(
        vm: &EntryVm,
        drained: bool,
        result: Option<StatusResult>,
        newest: Generation,
    ) -> VmReport {
        let result = result.unwrap_or_else(|| Err("not queried".to_owned()));
        let (status, error) = match result {
            Ok(status) if status.id == vm.id => (Some(status), None),
            // The address belongs to another entry VM, so the status is not that of this one.
            Ok(status) => (None, Some(format!("answers as entry VM {}", status.id))),
            Err(error) => (None, Some(error)),
        };
        VmReport {
            id: vm.id.clone(),
            operator_address: vm.operator_address,
            drained,
            reachable: status.is_some(),
            newest: status
                .as_ref()
                .is_some_and(|s| s.generation == newest && newest > 0),
            error,
            status,
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let from = match self.newest_from {
            "platform" => "in force at the platform",
            _ => "the newest that an entry VM has",
        };
        if self.answering == 0 && self.newest_from != "platform" {
            writeln!(f, "no entry VM answers")?;
        } else if self.newest_generation == 0 {
            writeln!(f, "no entry VM has a configuration")?;
        } else {
            writeln!(f, "generation {} is {from}", self.newest_generation)?;
        }
        for domain in &self.domains {
            let drained = if domain.drained { ", drained" } else { "" };
            writeln!(
                f,
                "failure domain {}, region {}{drained}",
                domain.id, domain.region
            )?;
            for vm in &domain.entry_vms {
                write!(f, "{vm}")?;
            }
        }
        writeln!(
            f,
            "{} of {} entry VMs answer, {} have the newest generation",
            self.answering, self.entry_vms, self.newest
        )
    }
}

impl fmt::Display for VmReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(status) = &self.status else {
            let error = self.error.as_deref().unwrap_or_default();
            let address = self.operator_address;
            return writeln!(f, "  {}: no status from {address}: {error}", self.id);
        };
        write!(f, "  {}: ", self.id)?;
        match (status.generation, self.newest) {
            (0, _) => f.write_str("no configuration")?,
            (generation, true) => write!(f, "generation {generation} (newest)")?,
            (generation, false) => write!(f, "generation {generation} (BEHIND)")?,
        }
        if status.stopping {
            f.write_str(", stopping")?;
        }
        if self.drained {
            f.write_str(", drained")?;
        }
        write!(
            f,
            ", up {} s, {} binding records, free slots",
            status.uptime_s, status.binding_records
        )?;
        if status.free_slots.is_empty() {
            f.write_str(" none")?;
        }
        for (service, free) in &status.free_slots {
            write!(f, " {service}={free}")?;
        }
        writeln!(f)?;
        for (id, peer) in &status.peers {
            match peer.liveness {
                PeerLiveness::Alive => {}
                PeerLiveness::Suspected => writeln!(f, "    peer {id} is suspected")?,
                PeerLiveness::Dead => writeln!(f, "    peer {id} is dead")?,
            }
        }
        for (id, server) in &status.servers {
            match server.state {
                ServerState::Ready if server.suspended => {
                    writeln!(f, "    server {id} is suspended")?;
                }
                ServerState::Ready => {}
                ServerState::Starting => writeln!(f, "    server {id} is starting")?,
                ServerState::Leaving => writeln!(f, "    server {id} is leaving or drained")?,
            }
        }
        Ok(())
    }
}
