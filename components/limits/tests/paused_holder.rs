//! Random histories of a holder that is paused with requests in flight until it counts as gone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use config::{Class, EntryVmId, ServerId};
use limits::slots::{Ledger, Parts, Permit, Settings, split};
use proptest::prelude::*;

/// Silence after which the others reassign the part of a VM that the list names as gone.
const SILENCE: u64 = 5_000;
/// VM that is paused.
const HOLDER: usize = 0;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn id() -> ServerId {
    "s0".into()
}

/// Parts of three VMs, in their order.
fn parts(slots: u32, gone: &[usize]) -> Vec<Parts> {
    let vms: Vec<EntryVmId> = (0..3).map(|i| format!("vm{i}").into()).collect();
    let gone: BTreeSet<EntryVmId> = gone.iter().map(|g| vms[*g].clone()).collect();
    let parts: BTreeMap<EntryVmId, Parts> = split(&[(id(), slots)], &vms, &gone);
    vms.iter()
        .map(|vm| parts.get(vm).cloned().unwrap_or_default())
        .collect()
}

/// A step: the VM acts after some time; a request that starts has a deadline.
#[derive(Clone, Debug)]
struct Op {
    vm: usize,
    kind: u8,
    advance: u64,
    deadline: u64,
}

fn op() -> impl Strategy<Value = Op> {
    (0_usize..3, 0_u8..16, 0_u64..400, 500_u64..20_000).prop_map(|(vm, kind, advance, deadline)| {
        Op {
            vm,
            kind,
            advance,
            deadline,
        }
    })
}

/// Three VMs; the first one is paused and resumed by the history.
struct World {
    now: Duration,
    slots: u32,
    vms: Vec<Ledger>,
    /// Requests at the server with their deadlines, which it honours.
    held: Vec<Vec<(Permit, Duration)>>,
    /// Since when the holder is paused.
    paused: Option<Duration>,
    /// The others have reassigned its part.
    gone: bool,
    /// Requests that were in flight at the last reassignment: the stated residual.
    residual: Vec<(Permit, Duration)>,
    /// Starts of the holder after a pause and before it is counted again.
    unconfirmed_starts: usize,
}

impl World {
    fn new(slots: u32) -> Self {
        let vms = parts(slots, &[]).into_iter().map(|part| {
            let mut ledger = Ledger::new(Settings::default(), ms(0));
            ledger.adopt(1, part);
            ledger.peers_settled(1);
            ledger.confirm(ms(0));
            ledger
        });
        World {
            now: ms(0),
            slots,
            vms: vms.collect(),
            held: vec![Vec::new(); 3],
            paused: None,
            gone: false,
            residual: Vec::new(),
            unconfirmed_starts: 0,
        }
    }

    fn runs(&self, vm: usize) -> bool {
        vm != HOLDER || self.paused.is_none()
    }

    fn advance(&mut self, by: u64) {
        self.now += ms(by);
        let now = self.now;
        for vm in 0..3 {
            if self.runs(vm) {
                self.tick(vm);
            }
        }
        self.residual.retain(|(_, deadline)| now < *deadline);
        if !self.gone && self.paused.is_some_and(|since| now >= since + ms(SILENCE)) {
            self.gone = true;
            self.residual.clone_from(&self.held[HOLDER]);
            self.residual.retain(|(_, deadline)| now < *deadline);
            self.reassign(&[HOLDER]);
        }
    }

    fn tick(&mut self, vm: usize) {
        let now = self.now;
        self.vms[vm].tick(now);
        if vm != HOLDER {
            self.vms[vm].confirm(now);
        }
        for (permit, deadline) in &self.held[vm] {
            if now >= *deadline {
                self.vms[vm].release(permit);
            }
        }
        self.held[vm].retain(|(_, deadline)| now < *deadline);
    }

    /// The others adopt the parts without these VMs.
    fn reassign(&mut self, gone: &[usize]) {
        let parts = parts(self.slots, gone);
        for vm in [1, 2] {
            self.vms[vm].reassign(parts[vm].clone());
        }
    }

    fn act(&mut self, op: &Op) {
        match op.kind {
            0..=12 if self.runs(op.vm) => self.start(op),
            13 if self.runs(op.vm) => {
                if let Some((permit, _)) = self.held[op.vm].pop() {
                    self.vms[op.vm].release(&permit);
                    // Permit numbers are unique at one VM only.
                    self.residual
                        .retain(|(held, _)| op.vm != HOLDER || *held != permit);
                }
            }
            14 => self.paused = self.paused.or(Some(self.now)),
            15 => self.resume(),
            _ => {}
        }
    }

    fn start(&mut self, op: &Op) {
        let deadline = self.now + ms(op.deadline);
        let started = self.vms[op.vm].acquire(self.now, &id(), Class::Binding, deadline);
        if let Ok(permit) = started {
            self.unconfirmed_starts += usize::from(op.vm == HOLDER && self.gone);
            self.held[op.vm].push((permit, deadline));
        }
    }

    /// A resumed holder runs; once its peers have reduced their parts and their requests fit
    /// them, they count it.
    fn resume(&mut self) {
        if self.paused.take().is_some() {
            // A request is started before the first tick, as by a task that runs first.
            let first = Op {
                vm: HOLDER,
                kind: 0,
                advance: 0,
                deadline: 3_000,
            };
            self.start(&first);
            self.tick(HOLDER);
        } else if self.gone {
            self.reassign(&[]);
            if self.vms.iter().all(Ledger::settled) {
                self.gone = false;
                self.vms[HOLDER].confirm(self.now);
            }
        } else {
            self.vms[HOLDER].confirm(self.now);
        }
    }

    fn in_use(&self) -> usize {
        let held = self.held.iter().flatten();
        held.filter(|(_, deadline)| self.now < *deadline).count()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against a paused holder that starts requests although its part is reassigned, and
    /// against more requests at the server than its slots and those that the holder had in
    /// flight when its part was reassigned, each until its deadline.
    #[test]
    fn a_paused_holder_adds_only_its_requests_in_flight(
        slots in 1_u32..8,
        ops in prop::collection::vec(op(), 1..200),
    ) {
        let mut world = World::new(slots);
        for op in ops {
            world.advance(op.advance);
            world.act(&op);
            let limit = slots as usize + world.residual.len();
            prop_assert!(world.in_use() <= limit, "{} of {}", world.in_use(), limit);
            prop_assert_eq!(world.unconfirmed_starts, 0);
        }
    }
}
