//! Execution records under retries, pauses, replaced processes and lost answers.

mod simulation;

use std::cell::RefCell;
use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use todc_utils::linearizability::WGLChecker;
use todc_utils::{Action, History, Specification};

use simulation::{Event, Op, Outcome, Simulation, op};

/// State of an at-most-once object in the specification.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Object {
    NotRun,
    /// It ran, and no caller has received the answer yet.
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
            // It may run at any time after its call. If it never runs, the checker can order it
            // last, where its effect is not observed.
            (Outcome::Unknown, Object::NotRun) => (true, Object::Ran),
            (Outcome::Unknown | Outcome::CallerError, _) => (true, *state),
        }
    }
}

/// Returns one history per ticket, each ending with an auditor that reads the execution log of the
/// servers. Responses with unknown outcome are moved to the end, because the work may take effect
/// after the response.
fn histories(simulation: &Simulation) -> Vec<Vec<(usize, Action<Outcome>)>> {
    let mut by_ticket: BTreeMap<usize, Vec<_>> = BTreeMap::new();
    for &(ticket, attempt, event) in &simulation.events {
        let actions = by_ticket.entry(ticket).or_default();
        match event {
            Event::Call => actions.push((attempt, Action::Call(Outcome::Unknown))),
            Event::Response(outcome) => actions.push((attempt, Action::Response(outcome))),
        }
    }
    let auditor = simulation.events.len();
    for (ticket, actions) in &mut by_ticket {
        for answer in simulation.executed(*ticket) {
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

fn add_counts(counts: &mut BTreeMap<&'static str, usize>, simulation: &Simulation) {
    for (name, n) in &simulation.counts {
        *counts.entry(name).or_default() += n;
    }
}

fn assert_all_outcomes_occurred(counts: &BTreeMap<&str, usize>) {
    for name in ["sends", "answered", "not run", "unknown", "caller error"] {
        assert!(
            counts.get(name).is_some_and(|n| *n > 0),
            "no {name}: {counts:?}"
        );
    }
}

/// Guards against a second send of work that may have run, a false "not run", an answer of other
/// work, a send after the expiry, deadline or send cutoff, and records that exceed their limits.
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
        let mut simulation = Simulation::new();
        simulation.run(&ops);
        add_counts(&mut counts.borrow_mut(), &simulation);
        prop_assert!(
            simulation.violations.is_empty(),
            "{:?}",
            simulation.violations
        );
        Ok(())
    });
    println!("seed {seed:?}, counts {:?}", counts.borrow());
    result.unwrap();
    assert_all_outcomes_occurred(&counts.borrow());
}

/// Guards against responses to concurrent callers and a final auditor that are not linearizable
/// for an at-most-once object.
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
    // Few tickets and no pauses, so that many calls use the same ticket before it expires.
    let ops = prop::collection::vec(op(), 100..300).prop_map(|mut ops| {
        ops.retain(|op| !matches!(op, Op::Ticket(_) | Op::Advance(50..)));
        for i in 0..4 {
            ops.insert(i * ops.len() / 4, Op::Ticket(i));
        }
        ops
    });
    let result = TestRunner::new(config).run(&ops, |ops| {
        let mut simulation = Simulation::new();
        simulation.run(&ops);
        add_counts(&mut counts.borrow_mut(), &simulation);
        for actions in histories(&simulation) {
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
    assert_all_outcomes_occurred(&counts.borrow());
}

/// Guards against a specification that accepts every history.
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
