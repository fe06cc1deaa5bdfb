//! Random histories of three entry VMs that share the slots of one server.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use config::{Class, EntryVmId, ServerId};
use limits::slots::{Grant, Ledger, LoanRequest, Parts, Permit, Settings, Term, split};
use proptest::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn id() -> ServerId {
    "s0".into()
}

fn vms() -> Vec<EntryVmId> {
    (0..3).map(|i| format!("vm{i}").into()).collect()
}

/// Parts of the server's slots without the gone VMs.
fn parts(slots: u32, gone: &BTreeSet<EntryVmId>) -> BTreeMap<EntryVmId, Parts> {
    split(&[(id(), slots)], &vms(), gone)
}

/// A message between two VMs.
#[derive(Clone, Debug)]
enum Message {
    Ask(usize, Duration, Term),
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
    (0_usize..3, 0_u8..9, 0_u64..60, delay, copies).prop_map(
        |(vm, kind, advance, delay, copies)| Op {
            vm,
            kind,
            advance,
            delay,
            copies,
        },
    )
}

/// A request in flight.
#[derive(Clone, Debug)]
struct Held {
    permit: Permit,
    /// Binding work has a deadline that the server honours.
    deadline: Option<Duration>,
    borrowed: bool,
}

impl Held {
    /// True while the request may run at the server; its way there took less than the margin.
    fn runs(&self, now: Duration) -> bool {
        let margin = Settings::default().fixed_margin;
        self.deadline.is_none_or(|deadline| now < deadline + margin)
    }
}

/// Three VMs that share one server, with a network that delays, loses, repeats and reorders.
struct World {
    now: Duration,
    vms: Vec<Ledger>,
    held: Vec<Vec<Held>>,
    /// Loan requests without reply.
    asked: Vec<Vec<LoanRequest>>,
    /// Until when each VM is paused.
    paused: Vec<Duration>,
    wire: Vec<(Duration, usize, Message)>,
    /// Requests other than binding work on borrowed slots of paused VMs: the stated residual.
    residual: usize,
    /// Binding work that was cancelled before its deadline because a loan ended.
    cancelled: usize,
}

impl World {
    fn new(slots: u32) -> Self {
        let parts = parts(slots, &BTreeSet::new());
        let ledgers = vms();
        let ledgers = ledgers.iter().map(|vm| {
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
            cancelled: 0,
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
        let now = self.now;
        let late = self.vms[vm].tick(now);
        let (ended, kept) = std::mem::take(&mut self.held[vm])
            .into_iter()
            .partition(|h| late.contains(&h.permit) || h.deadline.is_some_and(|d| now >= d));
        self.held[vm] = kept;
        for held in ended {
            self.cancelled += usize::from(held.deadline.is_some_and(|d| now < d));
            self.vms[vm].release(&held.permit);
        }
        self.vms[vm].confirm(self.now);
    }

    fn deliver(&mut self, op: &Op, to: usize, message: Message) {
        let now = self.now;
        match message {
            Message::Ask(from, sent, term) => {
                if let Ok(grant) = self.vms[to].lend(now, &id(), 2, 0, term) {
                    let server = id();
                    let request = LoanRequest { server, sent, term };
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
                let deadline = now + ms(op.delay * 2);
                let before = self.vms[vm].usage(now, &id()).borrowed_in_use;
                if let Ok(permit) = self.vms[vm].acquire(now, &id(), class, deadline) {
                    self.held[vm].push(Held {
                        permit,
                        deadline: (class == Class::Binding).then_some(deadline),
                        borrowed: self.vms[vm].usage(now, &id()).borrowed_in_use > before,
                    });
                }
            }
            3 => {
                if let Some(held) = self.held[vm].pop() {
                    self.vms[vm].release(&held.permit);
                }
            }
            4 | 8 => {
                let term = match op.kind {
                    4 => Term::Renewable,
                    _ => Settings::default().fixed_term(ms(op.delay * 2)),
                };
                let request = LoanRequest {
                    server: id(),
                    sent: now,
                    term,
                };
                self.asked[vm].push(request);
                self.send(op, peer, &Message::Ask(vm, now, term));
            }
            5 => {
                for r in self.vms[vm].renewals(now) {
                    self.send(op, peer, &Message::Extend(vm, r.key, r.loan, now));
                }
            }
            6 => {
                for (_, loan) in self.vms[vm].give_back(op.copies == 2) {
                    self.send(op, peer, &Message::Return(loan));
                }
            }
            _ => self.paused[vm] = now + ms(op.delay * 2),
        }
    }

    fn in_use(&self) -> usize {
        let held = self.held.iter().flatten();
        held.filter(|h| h.runs(self.now)).count()
    }

    /// Borrowed slots in use at paused VMs, without binding work: its loans outlast it.
    fn count_residual(&mut self) {
        let paused = (0..3).filter(|vm| self.now < self.paused[*vm]);
        let held = paused.flat_map(|vm| &self.held[vm]);
        self.residual = held.filter(|h| h.borrowed && h.deadline.is_none()).count();
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against more requests at a server than its slots under any delay, loss, repetition
    /// and reordering of messages; a paused borrower may exceed it by its borrowed slots in use, but
    /// not by binding work. Guards also against binding work that is cancelled when a loan ends.
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
            prop_assert_eq!(world.cancelled, 0);
        }
    }
}
