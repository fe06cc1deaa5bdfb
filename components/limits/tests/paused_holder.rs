//! Random histories of an entry VM that is paused with requests in flight, until its peers consider
//! it gone and reassign its slots.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use config::{Class, EntryVmId, ServerId};
use limits::slots::{Ledger, Permit, Quotas, Settings, split};
use proptest::prelude::*;

/// Time without messages after which the peers reassign the quota of a VM that is listed as gone.
const REASSIGN_AFTER_MS: u64 = 5_000;
const PAUSED_VM: usize = 0;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn server_id() -> ServerId {
    "s0".into()
}

/// Quotas of the three VMs, in their order; empty for the gone ones.
fn quotas(slots: u32, gone: &[usize]) -> Vec<Quotas> {
    let vms: Vec<EntryVmId> = (0..3).map(|i| format!("vm{i}").into()).collect();
    let gone: BTreeSet<EntryVmId> = gone.iter().map(|g| vms[*g].clone()).collect();
    let quotas: BTreeMap<EntryVmId, Quotas> = split(&[(server_id(), slots)], &vms, &gone);
    vms.iter()
        .map(|vm| quotas.get(vm).cloned().unwrap_or_default())
        .collect()
}

/// A step of the history: `vm` takes an action after some time. `deadline` applies to a request
/// that it starts.
#[derive(Clone, Debug)]
struct Op {
    vm: usize,
    action: u8,
    advance: u64,
    deadline: u64,
}

fn op() -> impl Strategy<Value = Op> {
    (0_usize..3, 0_u8..16, 0_u64..400, 500_u64..20_000).prop_map(
        |(vm, action, advance, deadline)| Op {
            vm,
            action,
            advance,
            deadline,
        },
    )
}

/// Three VMs, of which the first is paused and resumed.
struct Simulation {
    now: Duration,
    slots: u32,
    ledgers: Vec<Ledger>,
    /// Requests of each VM at the server with their deadlines, which the server honours.
    in_flight: Vec<Vec<(Permit, Duration)>>,
    /// Start of the pause, while the VM is paused.
    paused_since: Option<Duration>,
    /// Whether the peers have reassigned the quota of the paused VM.
    reassigned: bool,
    /// Requests that may exceed the slots: those of the paused VM in flight at the last
    /// reassignment.
    allowed_excess: Vec<(Permit, Duration)>,
    /// Starts of the paused VM after its quota was reassigned and before it was confirmed.
    unconfirmed_starts: usize,
}

impl Simulation {
    fn new(slots: u32) -> Self {
        let ledgers = quotas(slots, &[]).into_iter().map(|quota| {
            let mut ledger = Ledger::new(Settings::default(), ms(0));
            ledger.adopt(1, quota);
            ledger.peers_settled(1);
            ledger.confirm(ms(0));
            ledger
        });
        Simulation {
            now: ms(0),
            slots,
            ledgers: ledgers.collect(),
            in_flight: vec![Vec::new(); 3],
            paused_since: None,
            reassigned: false,
            allowed_excess: Vec::new(),
            unconfirmed_starts: 0,
        }
    }

    fn runs(&self, vm: usize) -> bool {
        vm != PAUSED_VM || self.paused_since.is_none()
    }

    fn advance(&mut self, by: u64) {
        self.now += ms(by);
        let now = self.now;
        for vm in 0..3 {
            if self.runs(vm) {
                self.tick(vm);
            }
        }
        self.allowed_excess.retain(|(_, deadline)| now < *deadline);
        if !self.reassigned
            && self
                .paused_since
                .is_some_and(|since| now >= since + ms(REASSIGN_AFTER_MS))
        {
            self.reassigned = true;
            self.allowed_excess.clone_from(&self.in_flight[PAUSED_VM]);
            self.allowed_excess.retain(|(_, deadline)| now < *deadline);
            self.reassign(&[PAUSED_VM]);
        }
    }

    fn tick(&mut self, vm: usize) {
        let now = self.now;
        self.ledgers[vm].tick(now);
        if vm != PAUSED_VM {
            self.ledgers[vm].confirm(now);
        }
        for (permit, deadline) in &self.in_flight[vm] {
            if now >= *deadline {
                self.ledgers[vm].release(permit);
            }
        }
        self.in_flight[vm].retain(|(_, deadline)| now < *deadline);
    }

    /// Adopts at the peers the quotas without the gone VMs.
    fn reassign(&mut self, gone: &[usize]) {
        let quotas = quotas(self.slots, gone);
        for vm in [1, 2] {
            self.ledgers[vm].reassign(quotas[vm].clone());
        }
    }

    fn apply(&mut self, op: &Op) {
        match op.action {
            0..=12 if self.runs(op.vm) => self.start(op),
            13 if self.runs(op.vm) => {
                if let Some((permit, _)) = self.in_flight[op.vm].pop() {
                    self.ledgers[op.vm].release(&permit);
                    // Permit numbers are unique only within a VM.
                    self.allowed_excess
                        .retain(|(held, _)| op.vm != PAUSED_VM || *held != permit);
                }
            }
            14 => self.paused_since = self.paused_since.or(Some(self.now)),
            15 => self.resume(),
            _ => {}
        }
    }

    fn start(&mut self, op: &Op) {
        let deadline = self.now + ms(op.deadline);
        let started = self.ledgers[op.vm].acquire(self.now, &server_id(), Class::Binding, deadline);
        if let Ok(permit) = started {
            self.unconfirmed_starts += usize::from(op.vm == PAUSED_VM && self.reassigned);
            self.in_flight[op.vm].push((permit, deadline));
        }
    }

    /// Ends the pause. In a later step the peers reduce their quotas again, and confirm the VM once
    /// their requests fit them.
    fn resume(&mut self) {
        if self.paused_since.take().is_some() {
            // A task may start a request before the first tick after the pause.
            let first = Op {
                vm: PAUSED_VM,
                action: 0,
                advance: 0,
                deadline: 3_000,
            };
            self.start(&first);
            self.tick(PAUSED_VM);
        } else if self.reassigned {
            self.reassign(&[]);
            if self.ledgers.iter().all(Ledger::settled) {
                self.reassigned = false;
                self.ledgers[PAUSED_VM].confirm(self.now);
            }
        } else {
            self.ledgers[PAUSED_VM].confirm(self.now);
        }
    }

    fn in_use(&self) -> usize {
        let in_flight = self.in_flight.iter().flatten();
        in_flight
            .filter(|(_, deadline)| self.now < *deadline)
            .count()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against a VM that starts requests after a pause although its quota was reassigned,
    /// and against more requests at the server than its slots and those that the VM had in flight
    /// when its quota was reassigned, each until its deadline.
    #[test]
    fn paused_vm_exceeds_slots_only_by_requests_in_flight(
        slots in 1_u32..8,
        ops in prop::collection::vec(op(), 1..200),
    ) {
        let mut simulation = Simulation::new(slots);
        for op in ops {
            simulation.advance(op.advance);
            simulation.apply(&op);
            let limit = slots as usize + simulation.allowed_excess.len();
            prop_assert!(simulation.in_use() <= limit, "{} of {}", simulation.in_use(), limit);
            prop_assert_eq!(simulation.unconfirmed_starts, 0);
        }
    }
}
