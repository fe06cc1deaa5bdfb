//! Slot quotas and loans.

use std::collections::BTreeSet;
use std::time::Duration;

use config::{Class, EntryVmId, ServerId};
use limits::slots::{Error, Ledger, LoanRequest, Permit, Quotas, Settings, Term, split};
use proptest::prelude::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn names(prefix: &str, n: usize) -> Vec<Box<str>> {
    (0..n).map(|i| format!("{prefix}{i}").into()).collect()
}

fn confirmed_ledger(quota: u32) -> Ledger {
    let mut ledger = Ledger::new(Settings::default(), ms(0));
    ledger.adopt(1, Quotas::from([("s0".into(), quota)]));
    ledger.peers_settled(1);
    ledger.confirm(ms(0));
    ledger
}

fn server_id() -> ServerId {
    "s0".into()
}

proptest! {
    /// Guards against slots without an owner or with two owners, and against uneven quotas.
    #[test]
    fn split_is_complete_and_balanced(
        slots in prop::collection::vec(0_u32..9, 0..40),
        vms in 1_usize..7,
    ) {
        let names = names("s", slots.len());
        let servers: Vec<_> = names.into_iter().zip(slots).collect();
        let vms = self::names("vm", vms);
        let quotas = split(&servers, &vms, &BTreeSet::new());
        let sums: Vec<u32> = quotas.values().map(|p| p.values().sum()).collect();
        let spread = sums.iter().max().unwrap_or(&0) - sums.iter().min().unwrap_or(&0);
        prop_assert!(spread <= 1, "{sums:?}");
        for (id, slots) in &servers {
            let sum: u32 = quotas.values().map(|p| p[id]).sum();
            prop_assert_eq!(sum, *slots);
        }
    }

    /// Guards against two VMs that claim the same slot because they disagree about a third VM.
    #[test]
    fn quotas_of_mutually_present_vms_never_overlap(
        slots in prop::collection::vec(1_u32..6, 1..12),
        gone in prop::collection::vec(prop::collection::btree_set(0_usize..5, 0..4), 5),
    ) {
        let servers: Vec<_> = names("s", slots.len()).into_iter().zip(slots).collect();
        let vms = names("vm", 5);
        // Each VM has its own view and considers itself present. Only VMs that consider one another
        // present are compared; others are an exception documented in `limits::slots`.
        let mutually_present = |a: usize, b: usize| !gone[a].contains(&b) && !gone[b].contains(&a);
        let mut group: Vec<usize> = Vec::new();
        for vm in 0..5 {
            if group.iter().all(|other| mutually_present(vm, *other)) {
                group.push(vm);
            }
        }
        let quotas = group.iter().map(|vm| {
            let view = gone[*vm].iter().filter(|g| *g != vm);
            let view: BTreeSet<EntryVmId> = view.map(|g| vms[*g].clone()).collect();
            split(&servers, &vms, &view)[&vms[*vm]].clone()
        });
        let quotas: Vec<Quotas> = quotas.collect();
        for (id, slots) in &servers {
            let sum: u32 = quotas.iter().map(|p| p[id]).sum();
            prop_assert!(sum <= *slots);
        }
    }
}

/// Guards against an increase that takes effect while a peer still uses the slots under its older
/// quotas, and against a reduction that is announced while more requests are still in flight.
#[test]
fn new_quotas_take_effect_without_overlap() {
    let mut a = confirmed_ledger(2);
    let mut b = confirmed_ledger(1);
    let permits: Vec<Permit> = (0..2)
        .map(|_| {
            a.acquire(ms(0), &server_id(), Class::Binding, ms(5_000))
                .expect("free")
        })
        .collect();
    a.adopt(2, Quotas::from([(server_id(), 1)]));
    b.adopt(2, Quotas::from([(server_id(), 2)]));
    assert!(!a.settled());
    assert_eq!(b.usage(ms(0), &server_id()).quota, 1);
    a.release(&permits[0]);
    assert!(a.settled());
    a.adopt(1, Quotas::from([(server_id(), 3)]));
    assert_eq!(a.usage(ms(0), &server_id()).quota, 1);
    b.peers_settled(1);
    assert_eq!(b.usage(ms(0), &server_id()).quota, 1);
    b.peers_settled(2);
    assert_eq!(b.usage(ms(0), &server_id()).quota, 2);
}

/// Guards against slots of a gone VM that stay unused, against their use while a peer may still
/// use them under an older configuration, and against a quota that stays increased after the VM
/// has come back.
#[test]
fn slots_of_gone_vm_are_reassigned() {
    let quota = |n| Quotas::from([(server_id(), n)]);
    let mut a = confirmed_ledger(1);
    a.reassign(quota(3));
    assert_eq!(a.usage(ms(0), &server_id()).quota, 3);
    a.reassign(quota(1));
    assert_eq!(a.usage(ms(0), &server_id()).quota, 1);
    a.adopt(2, quota(2));
    a.reassign(quota(3));
    assert_eq!(a.usage(ms(0), &server_id()).quota, 1);
    a.peers_settled(2);
    assert_eq!(a.usage(ms(0), &server_id()).quota, 3);
}

/// Guards against an entry VM that continues to start requests after a pause in which its peers
/// may have reassigned its slots.
#[test]
fn paused_vm_starts_nothing_until_confirmed() {
    let mut a = confirmed_ledger(2);
    let error = |r: Result<Permit, error_stack::Report<Error>>| {
        r.map_err(|e| *e.current_context()).expect_err("must fail")
    };
    let resumed = ms(6_000);
    assert_eq!(
        error(a.acquire(resumed, &server_id(), Class::Binding, ms(9_000))),
        Error::Paused
    );
    a.tick(resumed);
    assert_eq!(
        error(a.acquire(resumed, &server_id(), Class::Binding, ms(9_000))),
        Error::Paused
    );
    assert!(
        a.lend(resumed, &server_id(), 1, 0, Term::Renewable)
            .is_err()
    );
    a.confirm(resumed);
    assert!(
        a.acquire(resumed, &server_id(), Class::Binding, ms(9_000))
            .is_ok()
    );
}

/// Guards against binding work on a borrowed slot whose loan may end, and cancel it, while it runs.
#[test]
fn binding_work_does_not_use_renewable_loan() {
    let mut lender = confirmed_ledger(3);
    let mut borrower = confirmed_ledger(0);
    let request = LoanRequest {
        server: server_id(),
        sent: ms(0),
        term: Term::Renewable,
    };
    let grant = lender
        .lend(ms(2), &server_id(), 5, 1, Term::Renewable)
        .expect("idle slots");
    assert_eq!(grant.slots, 2);
    borrower.borrow(ms(4), &request, grant).expect("in time");
    assert!(
        borrower
            .acquire(ms(5), &server_id(), Class::Binding, ms(100))
            .is_err()
    );
    let permit = borrower
        .acquire(ms(5), &server_id(), Class::Idempotent, ms(100))
        .expect("borrowed");
    assert_eq!(lender.usage(ms(0), &server_id()).free(), 1);
    assert_eq!(borrower.tick(ms(474)), vec![]);
    assert_eq!(borrower.tick(ms(475)), vec![permit]);
    lender.tick(ms(501));
    assert_eq!(lender.usage(ms(0), &server_id()).free(), 1);
    lender.tick(ms(502));
    assert_eq!(lender.usage(ms(0), &server_id()).free(), 3);
    let late = borrower.borrow(ms(480), &request, grant);
    assert!(late.is_err());
}

/// Borrows one slot under this term: requested at 0 ms, granted at 2 ms and received at 4 ms.
fn borrow(lender: &mut Ledger, borrower: &mut Ledger, term: Term) {
    let request = LoanRequest {
        server: server_id(),
        sent: ms(0),
        term,
    };
    let grant = lender
        .lend(ms(2), &server_id(), 1, 0, term)
        .expect("idle slot");
    borrower.borrow(ms(4), &request, grant).expect("in time");
}

/// Guards against binding work on a loan that ends before its deadline, against a loan that
/// expires at the lender while its request runs, and against one that is kept after its request.
#[test]
fn binding_work_borrows_under_fixed_term() {
    let settings = Settings::default();
    let (mut lender, mut borrower) = (confirmed_ledger(2), confirmed_ledger(0));
    let term = settings.fixed_term(ms(1_000));
    assert_eq!(term, Term::Fixed(ms(1_500)));
    borrow(&mut lender, &mut borrower, term);
    assert_eq!(borrower.free_for_binding(ms(5), &server_id(), ms(1_251)), 0);
    assert_eq!(borrower.free_for_binding(ms(5), &server_id(), ms(1_250)), 1);
    let taken = borrower.acquire(ms(5), &server_id(), Class::Binding, ms(1_251));
    assert!(taken.is_err());
    let permit = borrower
        .acquire(ms(5), &server_id(), Class::Binding, ms(1_250))
        .expect("the loan outlasts the deadline");
    assert!(borrower.renewals(ms(1_400)).is_empty());
    assert_eq!(borrower.tick(ms(1_250)), vec![]);
    lender.tick(ms(1_501));
    assert_eq!(lender.usage(ms(1_501), &server_id()).lent, 1);
    lender.tick(ms(1_502));
    assert_eq!(lender.usage(ms(1_502), &server_id()).lent, 0);
    assert_eq!(borrower.return_idle(true), vec![]);
    borrower.release(&permit);
    assert_eq!(borrower.return_idle(true).len(), 1);
}

/// Guards against a fixed term that is extended, and against one above the maximum, which would
/// withhold the slot from its lender for too long.
#[test]
fn fixed_term_is_bounded_and_never_extended() {
    let error = |e: error_stack::Report<Error>| *e.current_context();
    let settings = Settings::default();
    let mut lender = confirmed_ledger(2);
    let longest = settings.fixed_term(ms(60_000));
    assert_eq!(longest, Term::Fixed(settings.max_term));
    let grant = lender
        .lend(ms(0), &server_id(), 1, 0, longest)
        .expect("idle slot");
    let extended = lender.extend(ms(1), grant.loan).map_err(error);
    assert_eq!(extended, Err(Error::FixedTerm));
    let longer = Term::Fixed(settings.max_term + ms(1));
    let refused = lender
        .lend(ms(1), &server_id(), 1, 0, longer)
        .map_err(error);
    assert_eq!(refused, Err(Error::TermTooLong));
}

/// Guards against a request that is sent after its loan has expired, or after a pause in which its
/// slot may have been reassigned to another VM.
#[test]
fn nothing_is_sent_on_expired_loan_or_after_pause() {
    let (mut lender, mut borrower) = (confirmed_ledger(3), confirmed_ledger(0));
    borrow(&mut lender, &mut borrower, Term::Renewable);
    let permit = borrower
        .acquire(ms(5), &server_id(), Class::Idempotent, ms(5_000))
        .expect("borrowed");
    assert!(borrower.may_send(ms(474), &permit));
    assert!(!borrower.may_send(ms(475), &permit));
    let own = lender
        .acquire(ms(5), &server_id(), Class::Binding, ms(5_000))
        .expect("own slot");
    assert!(lender.may_send(ms(2_000), &own));
    assert!(!lender.may_send(ms(2_001), &own));
    lender.confirm(ms(2_001));
    assert!(lender.may_send(ms(2_001), &own));
    lender.release(&own);
    assert!(!lender.may_send(ms(2_001), &own));
}
