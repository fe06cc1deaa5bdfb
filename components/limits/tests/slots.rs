//! Slot split and loans.

use std::collections::BTreeSet;
use std::time::Duration;

use config::{Class, EntryVmId, ServerId};
use limits::slots::{Error, Ledger, LoanRequest, Parts, Permit, Settings, Term, split};
use proptest::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn names(prefix: &str, n: usize) -> Vec<Box<str>> {
    (0..n).map(|i| format!("{prefix}{i}").into()).collect()
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
        .map(|_| {
            a.acquire(ms(0), &id(), Class::Binding, ms(5_000))
                .expect("free")
        })
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
        error(a.acquire(resumed, &id(), Class::Binding, ms(9_000))),
        Error::Paused
    );
    a.tick(resumed);
    assert_eq!(
        error(a.acquire(resumed, &id(), Class::Binding, ms(9_000))),
        Error::Paused
    );
    assert!(a.lend(resumed, &id(), 1, 0, Term::Renewable).is_err());
    a.confirm(resumed);
    assert!(a.acquire(resumed, &id(), Class::Binding, ms(9_000)).is_ok());
}

/// Guards against binding work on a slot whose lease may end while it runs.
#[test]
fn binding_work_does_not_use_a_renewable_loan() {
    let mut lender = ledger(3);
    let mut borrower = ledger(0);
    let request = LoanRequest {
        server: id(),
        sent: ms(0),
        term: Term::Renewable,
    };
    let grant = lender
        .lend(ms(2), &id(), 5, 1, Term::Renewable)
        .expect("idle slots");
    assert_eq!(grant.slots, 2);
    borrower.borrow(ms(4), &request, grant).expect("in time");
    assert!(
        borrower
            .acquire(ms(5), &id(), Class::Binding, ms(100))
            .is_err()
    );
    let permit = borrower
        .acquire(ms(5), &id(), Class::Idempotent, ms(100))
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

/// Borrows one slot under this term, asked for at 0 ms, granted at 2 ms and received at 4 ms.
fn borrow(lender: &mut Ledger, borrower: &mut Ledger, term: Term) {
    let request = LoanRequest {
        server: id(),
        sent: ms(0),
        term,
    };
    let grant = lender.lend(ms(2), &id(), 1, 0, term).expect("idle slot");
    borrower.borrow(ms(4), &request, grant).expect("in time");
}

/// Guards against binding work on a loan that ends before its deadline, against a loan that the
/// lender takes back while its request runs, and against one that outlives its request.
#[test]
fn binding_work_borrows_under_a_fixed_term() {
    let settings = Settings::default();
    let (mut lender, mut borrower) = (ledger(2), ledger(0));
    let term = settings.fixed_term(ms(1_000));
    assert_eq!(term, Term::Fixed(ms(1_500)));
    borrow(&mut lender, &mut borrower, term);
    assert_eq!(borrower.free_binding(ms(5), &id(), ms(1_251)), 0);
    assert_eq!(borrower.free_binding(ms(5), &id(), ms(1_250)), 1);
    let taken = borrower.acquire(ms(5), &id(), Class::Binding, ms(1_251));
    assert!(taken.is_err());
    let permit = borrower
        .acquire(ms(5), &id(), Class::Binding, ms(1_250))
        .expect("the loan outlasts the deadline");
    assert!(borrower.renewals(ms(1_400)).is_empty());
    assert_eq!(borrower.tick(ms(1_250)), vec![]);
    lender.tick(ms(1_501));
    assert_eq!(lender.usage(ms(1_501), &id()).lent, 1);
    lender.tick(ms(1_502));
    assert_eq!(lender.usage(ms(1_502), &id()).lent, 0);
    assert_eq!(borrower.give_back(true), vec![]);
    borrower.release(&permit);
    assert_eq!(borrower.give_back(true).len(), 1);
}

/// Guards against a fixed term that is extended, or that keeps a slot from its lender for longer
/// than the bound.
#[test]
fn a_fixed_term_is_bounded_and_never_extended() {
    let error = |e: error_stack::Report<Error>| *e.current_context();
    let settings = Settings::default();
    let mut lender = ledger(2);
    let longest = settings.fixed_term(ms(60_000));
    assert_eq!(longest, Term::Fixed(settings.max_term));
    let grant = lender.lend(ms(0), &id(), 1, 0, longest).expect("idle slot");
    let extended = lender.extend(ms(1), grant.loan).map_err(error);
    assert_eq!(extended, Err(Error::FixedTerm));
    let longer = Term::Fixed(settings.max_term + ms(1));
    let refused = lender.lend(ms(1), &id(), 1, 0, longer).map_err(error);
    assert_eq!(refused, Err(Error::TermTooLong));
}

/// Guards against a request that is sent after its loan has ended, or after a pause in which its
/// slot may have been given to another VM.
#[test]
fn nothing_is_sent_on_an_ended_loan_or_after_a_pause() {
    let (mut lender, mut borrower) = (ledger(3), ledger(0));
    borrow(&mut lender, &mut borrower, Term::Renewable);
    let permit = borrower
        .acquire(ms(5), &id(), Class::Idempotent, ms(5_000))
        .expect("borrowed");
    assert!(borrower.may_send(ms(474), &permit));
    assert!(!borrower.may_send(ms(475), &permit));
    let own = lender
        .acquire(ms(5), &id(), Class::Binding, ms(5_000))
        .expect("own slot");
    assert!(lender.may_send(ms(2_000), &own));
    assert!(!lender.may_send(ms(2_001), &own));
    lender.confirm(ms(2_001));
    assert!(lender.may_send(ms(2_001), &own));
    lender.release(&own);
    assert!(!lender.may_send(ms(2_001), &own));
}
