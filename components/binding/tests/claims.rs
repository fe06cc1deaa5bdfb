//! Claims of several processes on one table with lost, late and failing calls.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use binding::{
    Claim, ClaimAnswer, ClaimBatcher, ClaimHolder, ClaimOutcome, ClaimRefusal, ClaimSettings,
    ClaimStep, ProcessIdentity, RowKey, SettledClaim,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};

type Rows = Vec<(RowKey, ClaimHolder)>;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn settings() -> ClaimSettings {
    ClaimSettings {
        max_batch: 4,
        max_wait: ms(5),
        max_pending: 12,
        max_in_flight: 2,
        retry_delay: ms(20),
    }
}

fn batcher(vm: &str) -> ClaimBatcher {
    let identity = ProcessIdentity {
        vm: vm.into(),
        incarnation: 1,
    };
    ClaimBatcher::new(identity, settings())
}

fn claim(key: &str, operation: u64, deadline: u64) -> Claim {
    Claim {
        key: key.into(),
        operation,
        deadline: ms(deadline),
    }
}

/// Simulated result of a call to the table.
#[derive(Clone, Copy, Debug)]
enum CallResult {
    Answered,
    /// The call takes effect and its answer is lost.
    AnswerLost,
    /// The call takes effect after the process stopped waiting for the answer.
    Late,
    NeverArrives,
    NotSent,
}

#[derive(Default)]
struct Table {
    rows: BTreeMap<RowKey, ClaimHolder>,
    late: Vec<Rows>,
}

impl Table {
    fn apply(&mut self, rows: &Rows) -> ClaimAnswer {
        let held = |(key, _): &(RowKey, ClaimHolder)| {
            let holder = self.rows.get(key)?;
            Some((key.clone(), holder.clone()))
        };
        let conflicts: Rows = rows.iter().filter_map(held).collect();
        if !conflicts.is_empty() {
            return ClaimAnswer::Conflict(conflicts);
        }
        self.rows.extend(rows.iter().cloned());
        ClaimAnswer::Committed
    }

    fn transact(&mut self, rows: Rows, call_result: CallResult) -> ClaimAnswer {
        match call_result {
            CallResult::Answered => return self.apply(&rows),
            CallResult::AnswerLost => drop(self.apply(&rows)),
            CallResult::Late => self.late.push(rows),
            CallResult::NeverArrives => {}
            CallResult::NotSent => return ClaimAnswer::NotSent,
        }
        ClaimAnswer::Lost
    }
}

fn call_result() -> impl Strategy<Value = CallResult> {
    prop_oneof![
        5 => Just(CallResult::Answered),
        2 => Just(CallResult::AnswerLost),
        2 => Just(CallResult::Late),
        1 => Just(CallResult::NeverArrives),
        1 => Just(CallResult::NotSent),
    ]
}

/// Process, key, milliseconds to advance after the call, result of the call, and whether a late
/// transaction takes effect before it.
type Op = (usize, u8, u64, CallResult, bool);

struct Simulation {
    processes: Vec<ClaimBatcher>,
    table: Table,
    now: Duration,
    winners: BTreeMap<RowKey, (usize, u64)>,
    unsettled: BTreeSet<(usize, RowKey)>,
    counts: BTreeMap<&'static str, usize>,
}

impl Simulation {
    fn step(
        &mut self,
        &(process, key, wait, call_result, arrives): &Op,
    ) -> Result<(), TestCaseError> {
        // The operation is the record number: one per process and key while the record is kept.
        let key: RowKey = format!("k{}", key % 30).into();
        let operation = if wait == 0 { 2 } else { 1 };
        let claim = claim(&key, operation, self.now.as_millis() as u64 + 60);
        if self.processes[process].submit(claim, self.now).is_ok() {
            self.unsettled.insert((process, key));
        }
        prop_assert!(self.processes[process].len() <= settings().max_pending);
        if arrives && let Some(rows) = self.table.late.pop() {
            self.table.apply(&rows);
        }
        self.call(process, call_result)?;
        self.now += ms(wait);
        let settled = self.processes[process].expire(self.now);
        self.check(process, settled)
    }

    fn call(&mut self, process: usize, call_result: CallResult) -> Result<(), TestCaseError> {
        let now = self.now;
        let batcher = &mut self.processes[process];
        let settled = match batcher.step(now) {
            ClaimStep::Transact(number, rows) => {
                prop_assert!(rows.len() <= settings().max_batch);
                let answer = self.table.transact(rows, call_result);
                batcher.on_transact(number, answer, now)
            }
            ClaimStep::ReadBack(number, keys) => {
                *self.counts.entry("read back").or_default() += 1;
                let row = |key| self.table.rows.get_key_value(key);
                let rows = keys.iter().filter_map(row);
                let rows = rows
                    .map(|(key, holder)| (key.clone(), holder.clone()))
                    .collect();
                let rows =
                    matches!(call_result, CallResult::Answered | CallResult::Late).then_some(rows);
                batcher.on_read_back(number, rows, now)
            }
            ClaimStep::Wait(until) => {
                prop_assert!(
                    until.is_some() || batcher.is_empty(),
                    "pending claims have no next time"
                );
                Vec::new()
            }
        };
        self.check(process, settled)
    }

    fn check(&mut self, process: usize, settled: Vec<SettledClaim>) -> Result<(), TestCaseError> {
        for SettledClaim {
            key,
            operation,
            outcome,
        } in settled
        {
            prop_assert!(
                self.unsettled.remove(&(process, key.clone())),
                "claim settled twice"
            );
            let name = match outcome {
                ClaimOutcome::Won => {
                    let winner = *self
                        .winners
                        .entry(key.clone())
                        .or_insert((process, operation));
                    prop_assert_eq!(winner, (process, operation), "two winners of key {}", &key);
                    let holder = self.table.rows.get(&key);
                    prop_assert_eq!(holder.map(|h| h.operation), Some(operation));
                    "won"
                }
                ClaimOutcome::Held(holder) => {
                    prop_assert_eq!(self.table.rows.get(&key), Some(&holder));
                    "held"
                }
                ClaimOutcome::HeldByEarlierOperation => "held earlier",
                ClaimOutcome::Refused(ClaimRefusal::Unreachable) => "unreachable",
                ClaimOutcome::Refused(_) => "refused",
            };
            *self.counts.entry(name).or_default() += 1;
        }
        Ok(())
    }
}

/// Guards against two operations that win the same key, a win without a row, claims that are never
/// settled or settled twice, and batches or queues that exceed their limits.
#[test]
fn one_winner_per_key() {
    let config = Config {
        cases: 1_000,
        failure_persistence: None,
        ..Config::default()
    };
    let seed = config.rng_seed;
    let counts = RefCell::new(BTreeMap::<&str, usize>::new());
    let op = (
        0..3_usize,
        any::<u8>(),
        0..8_u64,
        call_result(),
        any::<bool>(),
    );
    let result = TestRunner::new(config).run(&prop::collection::vec(op, 1..200), |ops| {
        let mut simulation = Simulation {
            processes: ["a", "b", "c"].map(batcher).into(),
            table: Table::default(),
            now: ms(0),
            winners: BTreeMap::new(),
            unsettled: BTreeSet::new(),
            counts: BTreeMap::new(),
        };
        for op in &ops {
            simulation.step(op)?;
        }
        let end = simulation.now + ms(60);
        for process in 0..3 {
            let settled = simulation.processes[process].expire(end);
            simulation.check(process, settled)?;
        }
        prop_assert!(
            simulation.unsettled.is_empty(),
            "claims never settled: {:?}",
            simulation.unsettled
        );
        for (name, n) in simulation.counts {
            *counts.borrow_mut().entry(name).or_default() += n;
        }
        Ok(())
    });
    println!("seed {seed:?}, counts {:?}", counts.borrow());
    result.unwrap();
    for name in [
        "won",
        "held",
        "held earlier",
        "unreachable",
        "refused",
        "read back",
    ] {
        assert!(counts.borrow().contains_key(name), "no {name}");
    }
}

/// Guards against a batch that is sent too early or never, an unbounded queue, and claims that
/// wait for an unreachable table service.
#[test]
fn batching_and_refusals() {
    let mut claims = batcher("a");
    claims.submit(claim("k0", 1, 1_000), ms(0)).unwrap();
    assert_eq!(claims.step(ms(4)), ClaimStep::Wait(Some(ms(5))));
    for i in 1..12 {
        claims
            .submit(claim(&format!("k{i}"), 1, 1_000), ms(4))
            .unwrap();
    }
    assert_eq!(
        claims.submit(claim("x", 1, 1_000), ms(4)),
        Err(ClaimRefusal::QueueFull)
    );
    assert_eq!(
        claims.submit(claim("k0", 2, 1_000), ms(4)),
        Err(ClaimRefusal::Busy)
    );
    let ClaimStep::Transact(first, rows) = claims.step(ms(4)) else {
        panic!("a full batch must be sent at once");
    };
    assert_eq!(rows.len(), 4);
    assert!(matches!(claims.step(ms(4)), ClaimStep::Transact(..)));
    assert_eq!(claims.step(ms(9)), ClaimStep::Wait(Some(ms(1_000))));
    let settled = claims.on_transact(first, ClaimAnswer::NotSent, ms(9));
    let unreachable = ClaimOutcome::Refused(ClaimRefusal::Unreachable);
    assert!(settled.len() == 4 && settled.iter().all(|s| s.outcome == unreachable));
    assert_eq!(
        claims.submit(claim("x", 1, 1_000), ms(28)),
        Err(ClaimRefusal::Unreachable)
    );
    assert_eq!(claims.submit(claim("x", 1, 1_000), ms(29)), Ok(()));
}
