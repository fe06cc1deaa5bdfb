//! Execution records under retries, pauses, replaced processes and lost answers.

mod world;

use std::cell::RefCell;
use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use todc_utils::linearizability::WGLChecker;
use todc_utils::{Action, History, Specification};

use world::{Event, Op, Outcome, World, op};

/// State of an at-most-once object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Object {
    NotRun,
    /// It ran, and nobody has seen the answer yet.
    Ran,
    Answered(u32),
}

struct AtMostOnce;

impl Specification for AtMostOnce {
    type State = Object;
    type Operation = Outcome;

    fn init() -> Object {
        Object::NotRun
    }

    fn apply(outcome: &Outcome, state: &Object) -> (bool, Object) {
        match (outcome, state) {
            (Outcome::Answered(a), Object::Answered(b)) => (a == b, *state),
            (Outcome::Answered(a), _) => (true, Object::Answered(*a)),
            (Outcome::NotRun, _) => (*state == Object::NotRun, *state),
            // It may run at any time from its call on. If it never runs, it is the last operation
            // of the history, where its effect is not seen.
            (Outcome::Unknown, Object::NotRun) => (true, Object::Ran),
            (Outcome::Unknown | Outcome::CallerError, _) => (true, *state),
        }
    }
}

/// Histories per ticket, each closed by an auditor who reads the servers' logs. Responses of
/// unknown outcomes move to the end, since the work may take effect after the caller was told.
fn histories(world: &World) -> Vec<Vec<(usize, Action<Outcome>)>> {
    let mut by_ticket: BTreeMap<usize, Vec<_>> = BTreeMap::new();
    for &(ticket, attempt, event) in &world.events {
        let actions = by_ticket.entry(ticket).or_default();
        match event {
            Event::Call => actions.push((attempt, Action::Call(Outcome::Unknown))),
            Event::Response(outcome) => actions.push((attempt, Action::Response(outcome))),
        }
    }
    let auditor = world.events.len();
    for (ticket, actions) in &mut by_ticket {
        for answer in world.executed(*ticket) {
            actions.push((auditor, Action::Call(Outcome::Unknown)));
            actions.push((auditor, Action::Response(Outcome::Answered(answer))));
        }
        actions.sort_by_key(|(_, action)| *action == Action::Response(Outcome::Unknown));
    }
    by_ticket.into_values().collect()
}

fn is_consistent(actions: Vec<(usize, Action<Outcome>)>) -> bool {
    WGLChecker::<AtMostOnce>::is_linearizable(History::from_actions(actions))
}

fn add(counts: &mut BTreeMap<&'static str, usize>, world: &World) {
    for (name, n) in &world.counts {
        *counts.entry(name).or_default() += n;
    }
}

fn assert_covered(counts: &BTreeMap<&str, usize>) {
    for name in ["sends", "answered", "not run", "unknown", "caller error"] {
        assert!(
            counts.get(name).is_some_and(|n| *n > 0),
            "no {name}: {counts:?}"
        );
    }
}

/// Guards against a second send of work that may have run, a false "not run", an answer to other
/// work, a send after expiry, deadline or stop, and records beyond their limits.
#[test]
fn no_second_execution() {
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        ..Config::default()
    };
    let seed = config.rng_seed;
    let counts = RefCell::new(BTreeMap::new());
    let ops = prop::collection::vec(op(), 1..150);
    let result = TestRunner::new(config).run(&ops, |ops| {
        let mut world = World::new();
        world.run(&ops);
        add(&mut counts.borrow_mut(), &world);
        prop_assert!(world.faults.is_empty(), "{:?}", world.faults);
        Ok(())
    });
    println!("seed {seed:?}, counts {:?}", counts.borrow());
    result.unwrap();
    assert_covered(&counts.borrow());
}

/// Guards against results that no at-most-once object could give to concurrent callers and a final
/// auditor, judged only by what they saw.
#[test]
fn caller_histories() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let seed = config.rng_seed;
    let counts = RefCell::new(BTreeMap::new());
    let sizes = RefCell::new((0, 0, 0));
    // Few tickets and no pauses, so that many calls meet on one ticket before it expires.
    let ops = prop::collection::vec(op(), 100..300).prop_map(|mut ops| {
        ops.retain(|op| !matches!(op, Op::Ticket(_) | Op::Advance(50..)));
        for i in 0..4 {
            ops.insert(i * ops.len() / 4, Op::Ticket(i));
        }
        ops
    });
    let result = TestRunner::new(config).run(&ops, |ops| {
        let mut world = World::new();
        world.run(&ops);
        add(&mut counts.borrow_mut(), &world);
        for actions in histories(&world) {
            let mut sizes = sizes.borrow_mut();
            *sizes = (
                sizes.0 + 1,
                sizes.1 + actions.len(),
                sizes.2.max(actions.len()),
            );
            prop_assert!(is_consistent(actions.clone()), "{actions:?}");
        }
        Ok(())
    });
    let (histories, events, longest) = *sizes.borrow();
    println!("seed {seed:?}, {histories} histories, {events} events, longest {longest}");
    println!("counts {:?}", counts.borrow());
    result.unwrap();
    assert!(histories > 0 && events > 0, "empty history");
    assert_covered(&counts.borrow());
}

/// Guards against a checker that accepts everything.
#[test]
fn checker_rejects_violations() {
    use Outcome::{Answered, NotRun, Unknown};
    let sequence = |outcomes: &[Outcome]| {
        let actions = outcomes.iter().enumerate();
        let action =
            |(i, o): (usize, &Outcome)| [(i, Action::Call(Unknown)), (i, Action::Response(*o))];
        is_consistent(actions.flat_map(action).collect())
    };
    assert!(sequence(&[NotRun, Answered(1), Answered(1)]));
    assert!(!sequence(&[Answered(1), Answered(2)]));
    assert!(!sequence(&[Answered(1), NotRun]));
}
