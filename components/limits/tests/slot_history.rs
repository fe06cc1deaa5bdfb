//! Random histories of three entry VMs that share the slots of one server, with pauses and an
//! unreliable network.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use config::{Class, EntryVmId, ServerId};
use limits::slots::{Grant, Ledger, LoanRequest, Permit, Quotas, Settings, Term, split};
use proptest::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn server_id() -> ServerId {
    "s0".into()
}

fn vms() -> Vec<EntryVmId> {
    (0..3).map(|i| format!("vm{i}").into()).collect()
}

/// Quotas of the VMs that are not gone.
fn quotas(slots: u32, gone: &BTreeSet<EntryVmId>) -> BTreeMap<EntryVmId, Quotas> {
    split(&[(server_id(), slots)], &vms(), gone)
}

#[derive(Clone, Debug)]
enum Message {
    Request(usize, Duration, Term),
    Grant(LoanRequest, Grant),
    Extend(usize, u64, u64, Duration),
    Extended(u64, Duration),
    Return(u64),
}

/// A step of the history: `vm` takes an action after some time. Messages of this step are delivered
/// `copies` times, with this delay in milliseconds.
#[derive(Clone, Debug)]
struct Op {
    vm: usize,
    action: u8,
    advance: u64,
    delay: u64,
    copies: u8,
}

fn op() -> impl Strategy<Value = Op> {
    let delay = prop_oneof![4 => 1_u64..20, 1 => 1_u64..900];
    let copies = prop_oneof![1 => Just(0_u8), 6 => Just(1), 1 => Just(2)];
    (0_usize..3, 0_u8..9, 0_u64..60, delay, copies).prop_map(
        |(vm, action, advance, delay, copies)| Op {
            vm,
            action,
            advance,
            delay,
            copies,
        },
    )
}

/// A request in flight.
#[derive(Clone, Debug)]
struct InFlight {
    permit: Permit,
    /// Deadline of binding work, which the server honours; `None` for other classes.
    deadline: Option<Duration>,
    borrowed: bool,
}

impl InFlight {
    /// Tells whether the request may still run at the server. The margin covers its transit.
    fn may_run(&self, now: Duration) -> bool {
        let margin = Settings::default().deadline_margin;
        self.deadline.is_none_or(|deadline| now < deadline + margin)
    }
}

/// Three VMs that share one server, with a network that delays, loses, duplicates and reorders
/// messages.
struct Simulation {
    now: Duration,
    ledgers: Vec<Ledger>,
    in_flight: Vec<Vec<InFlight>>,
    /// Loan requests of each VM without a reply.
    loan_requests: Vec<Vec<LoanRequest>>,
    /// End of the last pause of each VM.
    paused_until: Vec<Duration>,
    network: Vec<(Duration, usize, Message)>,
    /// Requests that may exceed the slots of the server: those on borrowed slots of paused VMs,
    /// except for binding work.
    allowed_excess: usize,
    /// Number of binding requests cancelled before their deadlines because a loan expired.
    cancelled: usize,
}

impl Simulation {
    fn new(slots: u32) -> Self {
        let quotas = quotas(slots, &BTreeSet::new());
        let ledgers = vms();
        let ledgers = ledgers.iter().map(|vm| {
            let mut ledger = Ledger::new(Settings::default(), ms(0));
            ledger.adopt(1, quotas[vm].clone());
            ledger.peers_settled(1);
            ledger.confirm(ms(0));
            ledger
        });
        Simulation {
            now: ms(0),
            ledgers: ledgers.collect(),
            in_flight: vec![Vec::new(); 3],
            loan_requests: vec![Vec::new(); 3],
            paused_until: vec![ms(0); 3],
            network: Vec::new(),
            allowed_excess: 0,
            cancelled: 0,
        }
    }

    fn send(&mut self, op: &Op, to: usize, message: &Message) {
        for copy in 0..u64::from(op.copies) {
            let at = self.now + ms(op.delay * (copy + 1));
            self.network.push((at, to, message.clone()));
        }
    }

    /// Advances time; runs the timers of all VMs that are not paused, and delivers their messages.
    fn advance(&mut self, op: &Op) {
        for _ in 0..op.advance {
            self.now += ms(1);
            for vm in 0..3 {
                if self.now >= self.paused_until[vm] {
                    self.run_timers(vm);
                }
            }
            let (now, paused_until) = (self.now, self.paused_until.clone());
            let due =
                |(at, to, _): &(Duration, usize, Message)| *at <= now && paused_until[*to] <= now;
            let (due, kept) = std::mem::take(&mut self.network).into_iter().partition(due);
            self.network = kept;
            for (_, to, message) in due {
                self.deliver(op, to, message);
            }
        }
    }

    fn run_timers(&mut self, vm: usize) {
        let now = self.now;
        let late = self.ledgers[vm].tick(now);
        let (ended, kept) = std::mem::take(&mut self.in_flight[vm])
            .into_iter()
            .partition(|h| late.contains(&h.permit) || h.deadline.is_some_and(|d| now >= d));
        self.in_flight[vm] = kept;
        for in_flight in ended {
            self.cancelled += usize::from(in_flight.deadline.is_some_and(|d| now < d));
            self.ledgers[vm].release(&in_flight.permit);
        }
        self.ledgers[vm].confirm(self.now);
    }

    fn deliver(&mut self, op: &Op, to: usize, message: Message) {
        let now = self.now;
        match message {
            Message::Request(from, sent, term) => {
                if let Ok(grant) = self.ledgers[to].lend(now, &server_id(), 2, 0, term) {
                    let server = server_id();
                    let request = LoanRequest { server, sent, term };
                    self.send(op, from, &Message::Grant(request, grant));
                }
            }
            Message::Grant(request, grant) => {
                let before = self.loan_requests[to].len();
                self.loan_requests[to].retain(|r| *r != request);
                if self.loan_requests[to].len() < before {
                    let _ = self.ledgers[to].borrow(now, &request, grant);
                }
            }
            Message::Extend(from, key, loan, sent) => {
                if self.ledgers[to].extend(now, loan).is_ok() {
                    self.send(op, from, &Message::Extended(key, sent));
                }
            }
            Message::Extended(key, sent) => {
                let _ = self.ledgers[to].record_extension(key, sent);
            }
            Message::Return(loan) => self.ledgers[to].record_return(loan),
        }
    }

    fn apply(&mut self, op: &Op) {
        let (vm, now) = (op.vm, self.now);
        if now < self.paused_until[vm] {
            return;
        }
        // Each VM borrows only from the next one, so a loan number identifies the loan.
        let peer = (vm + 1) % 3;
        match op.action {
            0..=2 => {
                let class = [Class::Binding, Class::Idempotent][usize::from(op.action > 0)];
                let deadline = now + ms(op.delay * 2);
                let before = self.ledgers[vm].usage(now, &server_id()).borrowed_in_use;
                if let Ok(permit) = self.ledgers[vm].acquire(now, &server_id(), class, deadline) {
                    self.in_flight[vm].push(InFlight {
                        permit,
                        deadline: (class == Class::Binding).then_some(deadline),
                        borrowed: self.ledgers[vm].usage(now, &server_id()).borrowed_in_use
                            > before,
                    });
                }
            }
            3 => {
                if let Some(in_flight) = self.in_flight[vm].pop() {
                    self.ledgers[vm].release(&in_flight.permit);
                }
            }
            4 | 8 => {
                let term = match op.action {
                    4 => Term::Renewable,
                    _ => Settings::default().fixed_term(ms(op.delay * 2)),
                };
                let request = LoanRequest {
                    server: server_id(),
                    sent: now,
                    term,
                };
                self.loan_requests[vm].push(request);
                self.send(op, peer, &Message::Request(vm, now, term));
            }
            5 => {
                for r in self.ledgers[vm].renewals(now) {
                    self.send(op, peer, &Message::Extend(vm, r.key, r.loan, now));
                }
            }
            6 => {
                for (_, loan) in self.ledgers[vm].return_idle(op.copies == 2) {
                    self.send(op, peer, &Message::Return(loan));
                }
            }
            _ => self.paused_until[vm] = now + ms(op.delay * 2),
        }
    }

    fn in_use(&self) -> usize {
        let in_flight = self.in_flight.iter().flatten();
        in_flight.filter(|h| h.may_run(self.now)).count()
    }

    /// Counts the borrowed slots in use at paused VMs, except for binding work, whose loans outlast
    /// its deadlines.
    fn update_allowed_excess(&mut self) {
        let paused = (0..3).filter(|vm| self.now < self.paused_until[*vm]);
        let in_flight = paused.flat_map(|vm| &self.in_flight[vm]);
        self.allowed_excess = in_flight
            .filter(|h| h.borrowed && h.deadline.is_none())
            .count();
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against more requests at a server than its slots, under any delay, loss, duplication
    /// and reordering of messages. A paused borrower may exceed the slots by its requests on
    /// borrowed ones, except for binding work. Guards also against binding work that is cancelled
    /// because a loan expires.
    #[test]
    fn slots_in_use_never_exceed_limit(
        slots in 1_u32..8,
        ops in prop::collection::vec(op(), 1..200),
    ) {
        let mut simulation = Simulation::new(slots);
        for op in ops {
            simulation.advance(&op);
            simulation.apply(&op);
            simulation.update_allowed_excess();
            let limit = slots as usize + simulation.allowed_excess;
            prop_assert!(simulation.in_use() <= limit, "{} of {}", simulation.in_use(), limit);
            prop_assert_eq!(simulation.cancelled, 0);
        }
    }
}
