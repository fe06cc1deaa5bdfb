//! The slot split under pauses, kills, partitions, lost heartbeats and stale VM lists.

mod simulation;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};

use simulation::{SLOTS, STEP, Simulation};

const VMS: usize = 4;

#[derive(Clone, Copy, Debug)]
enum Fault {
    Freeze,
    Kill,
    Cut,
    Unlist,
}

/// Milliseconds until the fault, its VM, and how many milliseconds it lasts.
type Event = (u64, usize, Fault, u64);

fn event() -> impl Strategy<Value = Event> {
    let fault = prop_oneof![
        Just(Fault::Freeze),
        Just(Fault::Kill),
        Just(Fault::Cut),
        Just(Fault::Unlist)
    ];
    let lasts = prop_oneof![3 => 1..120_u64, 2 => 120..800_u64];
    (0..200_u64, 0..VMS, fault, lasts)
        .prop_map(|(gap, vm, fault, n)| (gap * STEP, vm, fault, n * STEP))
}

#[derive(Default)]
struct Counts {
    steps: usize,
    in_use: usize,
    in_use_by_all: usize,
    residual_pairs: usize,
    residual_overlaps: usize,
}

/// Pairs in the residual case: one stopped counting the other although that one runs and holds a
/// share, because the list said that it was gone and it was silent; or it was silent for 30 s.
fn note_residual(sim: &Simulation, residual: &mut BTreeSet<(usize, usize)>) {
    for a in (0..VMS).filter(|a| !sim.is_dead(*a)) {
        let uptime = sim.uptime(a);
        let membership = &sim.nodes[a].membership;
        let members = membership.heartbeat(1, 0, uptime).members;
        for b in (0..VMS).filter(|b| *b != a && sim.nodes[*b].has_joined) {
            let vm = &sim.nodes[b].vm;
            let heard = membership
                .last_heartbeat(vm)
                .map_or(Duration::ZERO, |(at, _)| at);
            let silence = uptime.saturating_sub(heard).as_secs();
            let is_gone = !sim.nodes[a].list.contains(vm) && silence >= 5;
            if (is_gone && !members.contains(vm)) || silence >= 30 {
                residual.insert((a.min(b), a.max(b)));
            }
        }
    }
}

fn run(events: &[Event], loss: f64, seed: u64, counts: &mut Counts) -> Result<(), TestCaseError> {
    let mut sim = Simulation::new(VMS, loss, seed);
    let mut residual = BTreeSet::new();
    let quiet = (40_000, 0, Fault::Unlist, 0);
    for &(gap, vm, fault, lasts) in [(8_000, 0, Fault::Unlist, 0)]
        .iter()
        .chain(events)
        .chain([&quiet])
    {
        for _ in 0..gap / STEP {
            sim.step();
            note_residual(&sim, &mut residual);
            check(&sim, &residual, counts)?;
        }
        let until = sim.now + lasts;
        match fault {
            Fault::Freeze => sim.nodes[vm].frozen_until = until,
            Fault::Kill if !sim.is_dead(vm) => sim.kill(vm, lasts.max(STEP)),
            Fault::Kill => {}
            Fault::Cut => sim.nodes[vm].cut_until = until,
            Fault::Unlist => sim.nodes[vm].unlisted_until = until,
        }
    }
    counts.residual_pairs += residual.len();
    Ok(())
}

fn check(
    sim: &Simulation,
    residual: &BTreeSet<(usize, usize)>,
    counts: &mut Counts,
) -> Result<(), TestCaseError> {
    counts.steps += 1;
    for slot in 0..SLOTS {
        let users: Vec<usize> = (0..VMS)
            .filter(|&i| sim.nodes[i].busy_until[slot] > sim.now)
            .collect();
        counts.in_use += usize::from(!users.is_empty());
        for (k, &a) in users.iter().enumerate() {
            for &b in &users[k + 1..] {
                let is_residual = residual.contains(&(a, b));
                prop_assert!(
                    is_residual,
                    "slot {slot} is used by {a} and {b} at {}",
                    sim.now
                );
                counts.residual_overlaps += 1;
            }
        }
    }
    let joined = (0..VMS).all(|i| !sim.nodes[i].split.sets.is_empty());
    counts.in_use_by_all += usize::from(joined);
    Ok(())
}

/// Guards against two VMs whose requests occupy the same slot outside the residual case, and against a split
/// that is safe only because nobody uses anything.
#[test]
fn no_slot_is_used_twice() {
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let seed = config.rng_seed;
    let counts = RefCell::new(Counts::default());
    let loss = prop_oneof![Just(0.0), Just(0.05), Just(0.2)];
    let strategy = (prop::collection::vec(event(), 0..16), loss, any::<u64>());
    let result = TestRunner::new(config).run(&strategy, |(events, loss, seed)| {
        run(&events, loss, seed, &mut counts.borrow_mut())
    });
    let counts = counts.into_inner();
    println!(
        "seed {seed:?}: {} steps, {:.1}% of slots in use, all joined in {:.1}% of steps, \
         {} residual pairs with {} overlaps",
        counts.steps,
        counts.in_use as f64 / counts.steps as f64 / 0.12,
        counts.in_use_by_all as f64 / counts.steps as f64 * 100.0,
        counts.residual_pairs,
        counts.residual_overlaps,
    );
    result.unwrap();
    assert!(
        counts.in_use > counts.steps * 6,
        "half of the slots must be in use on average"
    );
}
