//! Slot split and loans.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use config::{Class, EntryVmId, ServerId};
use limits::slots::{Error, Grant, Ledger, LoanRequest, Parts, Permit, Settings, split};
use proptest::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn names(prefix: &str, n: usize) -> Vec<Box<str>> {
    (0..n).map(|i| format!("{prefix}{i}").into()).collect()
}

fn server(slots: u32) -> Vec<(ServerId, u32)> {
    vec![("s0".into(), slots)]
}

fn ledger(part: u32) -> Ledger {
    let mut ledger = Ledger::new(Settings::default(), ms(0));
    ledger.adopt(1, Parts::from([("s0".into(), part)]));
    ledger.peers_settled(1);
    ledger.confirm(ms(0));
    ledger
}

fn id() -> ServerId {
    "s0".into()
}

proptest! {
    /// Guards against slots without owner or with two, and against an uneven division.
    #[test]
    fn split_is_complete_and_balanced(
        slots in prop::collection::vec(0_u32..9, 0..40),
        vms in 1_usize..7,
    ) {
        let names = names("s", slots.len());
        let servers: Vec<_> = names.into_iter().zip(slots).collect();
        let vms = self::names("vm", vms);
        let parts = split(&servers, &vms, &BTreeSet::new());
        let sums: Vec<u32> = parts.values().map(|p| p.values().sum()).collect();
        let spread = sums.iter().max().unwrap_or(&0) - sums.iter().min().unwrap_or(&0);
        prop_assert!(spread <= 1, "{sums:?}");
        for (id, slots) in &servers {
            let sum: u32 = parts.values().map(|p| p[id]).sum();
            prop_assert_eq!(sum, *slots);
        }
    }

    /// Guards against two VMs that claim one slot while they disagree about a third VM.
    #[test]
    fn views_that_include_each_other_never_overlap(
        slots in prop::collection::vec(1_u32..6, 1..12),
        gone in prop::collection::vec(prop::collection::btree_set(0_usize..5, 0..4), 5),
    ) {
        let servers: Vec<_> = names("s", slots.len()).into_iter().zip(slots).collect();
        let vms = names("vm", 5);
        // Each VM has its own view; a VM counts itself as present. Views that exclude one
        // another are the residual stated in the module.
        let together = |a: usize, b: usize| !gone[a].contains(&b) && !gone[b].contains(&a);
        let mut group: Vec<usize> = Vec::new();
        for vm in 0..5 {
            if group.iter().all(|other| together(vm, *other)) {
                group.push(vm);
            }
        }
        let parts = group.iter().map(|vm| {
            let view = gone[*vm].iter().filter(|g| *g != vm);
            let view: BTreeSet<EntryVmId> = view.map(|g| vms[*g].clone()).collect();
            split(&servers, &vms, &view)[&vms[*vm]].clone()
        });
        let parts: Vec<Parts> = parts.collect();
        for (id, slots) in &servers {
            let sum: u32 = parts.iter().map(|p| p[id]).sum();
            prop_assert!(sum <= *slots);
        }
    }
}

/// Guards against an increase that is used while a peer still uses the slots under its older
/// configuration, and against a reduction that is announced while requests still run above it.
#[test]
fn a_new_split_takes_effect_without_overlap() {
    let mut a = ledger(2);
    let mut b = ledger(1);
    let held: Vec<Permit> = (0..2)
        .map(|_| a.acquire(ms(0), &id(), Class::Binding).expect("free"))
        .collect();
    a.adopt(2, Parts::from([(id(), 1)]));
    b.adopt(2, Parts::from([(id(), 2)]));
    assert!(!a.settled());
    assert_eq!(b.usage(ms(0), &id()).part, 1);
    a.release(&held[0]);
    assert!(a.settled());
    a.adopt(1, Parts::from([(id(), 3)]));
    assert_eq!(a.usage(ms(0), &id()).part, 1);
    b.peers_settled(1);
    assert_eq!(b.usage(ms(0), &id()).part, 1);
    b.peers_settled(2);
    assert_eq!(b.usage(ms(0), &id()).part, 2);
}

/// Guards against the slots of a gone VM that stay unused, against their use while a peer may
/// still use them under an older configuration, and against a part that is kept when the VM is
/// back.
#[test]
fn survivors_take_over_the_part_of_a_gone_vm() {
    let part = |n| Parts::from([(id(), n)]);
    let mut a = ledger(1);
    a.reassign(part(3));
    assert_eq!(a.usage(ms(0), &id()).part, 3);
    a.reassign(part(1));
    assert_eq!(a.usage(ms(0), &id()).part, 1);
    a.adopt(2, part(2));
    a.reassign(part(3));
    assert_eq!(a.usage(ms(0), &id()).part, 1);
    a.peers_settled(2);
    assert_eq!(a.usage(ms(0), &id()).part, 3);
}

/// Guards against an entry VM that was paused, was declared gone, and continues to send.
#[test]
fn a_paused_holder_starts_nothing_until_confirmed() {
    let mut a = ledger(2);
    let error = |r: Result<Permit, error_stack::Report<Error>>| {
        r.map_err(|e| *e.current_context()).expect_err("must fail")
    };
    let resumed = ms(6_000);
    assert_eq!(
        error(a.acquire(resumed, &id(), Class::Binding)),
        Error::Paused
    );
    a.tick(resumed);
    assert_eq!(
        error(a.acquire(resumed, &id(), Class::Binding)),
        Error::Paused
    );
    assert!(a.lend(resumed, &id(), 1, 0).is_err());
    a.confirm(resumed);
    assert!(a.acquire(resumed, &id(), Class::Binding).is_ok());
}

/// Guards against binding work on a slot whose lease may end while it runs.
#[test]
fn binding_work_uses_own_slots_only() {
    let mut lender = ledger(3);
    let mut borrower = ledger(0);
    let request = LoanRequest {
        server: id(),
        sent: ms(0),
    };
    let grant = lender.lend(ms(2), &id(), 5, 1).expect("idle slots");
    assert_eq!(grant.slots, 2);
    borrower.borrow(ms(4), &request, grant).expect("in time");
    assert!(borrower.acquire(ms(5), &id(), Class::Binding).is_err());
    let permit = borrower
        .acquire(ms(5), &id(), Class::Idempotent)
        .expect("borrowed");
    assert_eq!(lender.usage(ms(0), &id()).free(), 1);
    assert_eq!(borrower.tick(ms(474)), vec![]);
    assert_eq!(borrower.tick(ms(475)), vec![permit]);
    lender.tick(ms(501));
    assert_eq!(lender.usage(ms(0), &id()).free(), 1);
    lender.tick(ms(502));
    assert_eq!(lender.usage(ms(0), &id()).free(), 3);
    let late = borrower.borrow(ms(480), &request, grant);
    assert!(late.is_err());
}

/// A message between two VMs.
#[derive(Clone, Debug)]
enum Message {
    Ask(usize, Duration),
    Grant(LoanRequest, Grant),
    Extend(usize, u64, u64, Duration),
    Extended(u64, Duration),
    Return(u64),
}

/// One step of the random history.
#[derive(Clone, Debug)]
struct Op {
    vm: usize,
    kind: u8,
    advance: u64,
    delay: u64,
    copies: u8,
}

fn op() -> impl Strategy<Value = Op> {
    let delay = prop_oneof![4 => 1_u64..20, 1 => 1_u64..900];
    let copies = prop_oneof![1 => Just(0_u8), 6 => Just(1), 1 => Just(2)];
    (0_usize..3, 0_u8..8, 0_u64..60, delay, copies).prop_map(
        |(vm, kind, advance, delay, copies)| Op {
            vm,
            kind,
            advance,
            delay,
            copies,
        },
    )
}

/// Three VMs that share one server, with a network that delays, loses, repeats and reorders.
struct World {
    now: Duration,
    vms: Vec<Ledger>,
    held: Vec<Vec<Permit>>,
    /// Loan requests without reply.
    asked: Vec<Vec<LoanRequest>>,
    /// Until when each VM is paused.
    paused: Vec<Duration>,
    wire: Vec<(Duration, usize, Message)>,
    /// Permits on ended leases at paused VMs: the stated residual.
    residual: usize,
}

impl World {
    fn new(slots: u32) -> Self {
        let vms = names("vm", 3);
        let parts: BTreeMap<EntryVmId, Parts> = split(&server(slots), &vms, &BTreeSet::new());
        let ledgers = vms.iter().map(|vm| {
            let mut ledger = Ledger::new(Settings::default(), ms(0));
            ledger.adopt(1, parts[vm].clone());
            ledger.peers_settled(1);
            ledger.confirm(ms(0));
            ledger
        });
        World {
            now: ms(0),
            vms: ledgers.collect(),
            held: vec![Vec::new(); 3],
            asked: vec![Vec::new(); 3],
            paused: vec![ms(0); 3],
            wire: Vec::new(),
            residual: 0,
        }
    }

    fn send(&mut self, op: &Op, to: usize, message: &Message) {
        for copy in 0..u64::from(op.copies) {
            let at = self.now + ms(op.delay * (copy + 1));
            self.wire.push((at, to, message.clone()));
        }
    }

    /// Timers and messages of all VMs that run.
    fn advance(&mut self, op: &Op) {
        for _ in 0..op.advance {
            self.now += ms(1);
            for vm in 0..3 {
                if self.now >= self.paused[vm] {
                    self.run_timers(vm);
                }
            }
            let (now, paused) = (self.now, self.paused.clone());
            let due = |(at, to, _): &(Duration, usize, Message)| *at <= now && paused[*to] <= now;
            let (due, kept) = std::mem::take(&mut self.wire).into_iter().partition(due);
            self.wire = kept;
            for (_, to, message) in due {
                self.deliver(op, to, message);
            }
        }
    }

    fn run_timers(&mut self, vm: usize) {
        for permit in self.vms[vm].tick(self.now) {
            self.vms[vm].release(&permit);
            self.held[vm].retain(|p| *p != permit);
        }
        self.vms[vm].confirm(self.now);
    }

    fn deliver(&mut self, op: &Op, to: usize, message: Message) {
        let now = self.now;
        match message {
            Message::Ask(from, sent) => {
                if let Ok(grant) = self.vms[to].lend(now, &id(), 2, 0) {
                    let request = LoanRequest { server: id(), sent };
                    self.send(op, from, &Message::Grant(request, grant));
                }
            }
            Message::Grant(request, grant) => {
                let before = self.asked[to].len();
                self.asked[to].retain(|r| *r != request);
                if self.asked[to].len() < before {
                    let _ = self.vms[to].borrow(now, &request, grant);
                }
            }
            Message::Extend(from, key, loan, sent) => {
                if self.vms[to].extend(now, loan).is_ok() {
                    self.send(op, from, &Message::Extended(key, sent));
                }
            }
            Message::Extended(key, sent) => {
                let _ = self.vms[to].extended(key, sent);
            }
            Message::Return(loan) => self.vms[to].take_back(loan),
        }
    }

    fn act(&mut self, op: &Op) {
        let (vm, now) = (op.vm, self.now);
        if now < self.paused[vm] {
            return;
        }
        // The only other VM that lends is the next one, so loan numbers need no lender.
        let peer = (vm + 1) % 3;
        match op.kind {
            0..=2 => {
                let class = [Class::Binding, Class::Idempotent][usize::from(op.kind > 0)];
                if let Ok(permit) = self.vms[vm].acquire(now, &id(), class) {
                    self.held[vm].push(permit);
                }
            }
            3 => {
                if let Some(permit) = self.held[vm].pop() {
                    self.vms[vm].release(&permit);
                }
            }
            4 => {
                let request = LoanRequest {
                    server: id(),
                    sent: now,
                };
                self.asked[vm].push(request);
                self.send(op, peer, &Message::Ask(vm, now));
            }
            5 => {
                for r in self.vms[vm].renewals(now) {
                    self.send(op, peer, &Message::Extend(vm, r.key, r.loan, now));
                }
            }
            6 => {
                for (_, loan) in self.vms[vm].give_back() {
                    self.send(op, peer, &Message::Return(loan));
                }
            }
            _ => self.paused[vm] = now + ms(op.delay * 2),
        }
    }

    fn in_use(&self) -> usize {
        self.held.iter().map(Vec::len).sum()
    }

    /// Borrowed slots in use at paused VMs.
    fn count_residual(&mut self) {
        let paused = (0..3).filter(|vm| self.now < self.paused[*vm]);
        let borrowed =
            paused.map(|vm| self.vms[vm].usage(self.now, &id()).borrowed_in_use as usize);
        self.residual = borrowed.sum();
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against more requests at a server than its slots under any delay, loss, repetition
    /// and reordering of messages; a paused borrower may exceed it by its borrowed slots in use.
    #[test]
    fn slots_in_use_never_pass_the_limit(
        slots in 1_u32..8,
        ops in prop::collection::vec(op(), 1..200),
    ) {
        let mut world = World::new(slots);
        for op in ops {
            world.advance(&op);
            world.act(&op);
            world.count_residual();
            let limit = slots as usize + world.residual;
            prop_assert!(world.in_use() <= limit, "{} of {}", world.in_use(), limit);
        }
    }
}
