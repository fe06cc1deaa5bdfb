//! What the `status` command prints.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use config::{Configuration, DomainId, EntryVm, EntryVmId, Generation, RegionId};
use entry::operator::{PeerLiveness, ServerState, Status};
use serde::Serialize;

use super::Answer;

/// State of all entry VMs.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Whether every entry VM answers and has the newest generation.
    pub ok: bool,
    /// Newest generation.
    newest_generation: Generation,
    /// Where the newest generation is known from: `platform` or `entry_vms`.
    newest_from: &'static str,
    /// Entry VMs of the inventory.
    entry_vms: usize,
    /// Of these, those that answer.
    answering: usize,
    /// Of these, those that have the newest generation.
    newest: usize,
    /// Failure domains.
    domains: Vec<DomainReport>,
}

/// State of the entry VMs of one failure domain.
#[derive(Debug, Serialize)]
struct DomainReport {
    /// Failure domain.
    id: DomainId,
    /// Region.
    region: RegionId,
    /// Whether it or its region is drained; always false with `--inventory`.
    drained: bool,
    /// Entry VMs.
    entry_vms: Vec<VmReport>,
}

/// State of one entry VM.
#[derive(Debug, Serialize)]
struct VmReport {
    /// Entry VM.
    id: EntryVmId,
    /// Address for operators.
    operator_address: SocketAddr,
    /// Whether it is drained; always false with `--inventory`.
    drained: bool,
    /// Whether it answers under its own name.
    reachable: bool,
    /// Whether it has the newest generation.
    newest: bool,
    /// Why it counts as not reachable.
    error: Option<String>,
    /// Its answer.
    status: Option<Status>,
}

impl Report {
    /// Builds the report; without `newest` the highest generation answered counts as the newest.
    pub fn new(
        configuration: &Configuration,
        newest: Option<Generation>,
        mut answers: BTreeMap<EntryVmId, Answer>,
    ) -> Report {
        let heard = answers.values().flatten().map(|s| s.generation);
        let newest_generation = heard.chain(newest).max().unwrap_or(0);
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
                        let answer = answers.remove(&vm.id);
                        let drained = configuration.rules.drains.entry_vms.contains(&vm.id);
                        VmReport::new(vm, drained, answer, newest_generation)
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
    fn new(vm: &EntryVm, drained: bool, answer: Option<Answer>, newest: Generation) -> VmReport {
        let answer = answer.unwrap_or_else(|| Err("was not asked".to_owned()));
        let (status, error) = match answer {
            Ok(status) if status.id == vm.id => (Some(status), None),
            // The address belongs to another VM, so its state says nothing about this one.
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
