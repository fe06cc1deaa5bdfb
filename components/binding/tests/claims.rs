//! Claim batches of several processes against one table with lost, late and failing calls.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use binding::{
    Claim, ClaimAnswer, ClaimBatch, ClaimRefusal, ClaimSettings, ClaimStep, ClaimVerdict, Holder,
    Identity, RowKey, Settled,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};

type Rows = Vec<(RowKey, Holder)>;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn settings() -> ClaimSettings {
    ClaimSettings {
        batch: 4,
        wait: ms(5),
        queue: 12,
        in_flight: 2,
        pause: ms(20),
    }
}

fn batch(vm: &str) -> ClaimBatch {
    let identity = Identity {
        vm: vm.into(),
        incarnation: 1,
    };
    ClaimBatch::new(identity, settings())
}

fn claim(key: &str, operation: u64, deadline: u64) -> Claim {
    Claim {
        key: key.into(),
        operation,
        deadline: ms(deadline),
    }
}

/// How a call to the table ends.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    /// It takes effect and the answer is lost.
    AnswerLost,
    /// It takes effect after this process gave up waiting for its answer.
    Late,
    NeverArrives,
    NotSent,
}

#[derive(Default)]
struct Table {
    rows: BTreeMap<RowKey, Holder>,
    late: Vec<Rows>,
}

impl Table {
    fn apply(&mut self, rows: &Rows) -> ClaimAnswer {
        let held = |(key, _): &(RowKey, Holder)| {
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

    fn transact(&mut self, rows: Rows, fate: Fate) -> ClaimAnswer {
        match fate {
            Fate::Answered => return self.apply(&rows),
            Fate::AnswerLost => drop(self.apply(&rows)),
            Fate::Late => self.late.push(rows),
            Fate::NeverArrives => {}
            Fate::NotSent => return ClaimAnswer::NotSent,
        }
        ClaimAnswer::Lost
    }
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        5 => Just(Fate::Answered),
        2 => Just(Fate::AnswerLost),
        2 => Just(Fate::Late),
        1 => Just(Fate::NeverArrives),
        1 => Just(Fate::NotSent),
    ]
}

/// Submit a key at a process, advance the time, and let the process make a call; perhaps a late
/// transaction takes effect before.
type Op = (usize, u8, u64, Fate, bool);

struct Run {
    processes: Vec<ClaimBatch>,
    table: Table,
    now: Duration,
    winners: BTreeMap<RowKey, (usize, u64)>,
    unsettled: BTreeSet<(usize, RowKey)>,
    counts: BTreeMap<&'static str, usize>,
}

impl Run {
    fn step(&mut self, &(process, key, wait, fate, arrives): &Op) -> Result<(), TestCaseError> {
        // The operation is the record number: one per process and key, as long as it is kept.
        let key: RowKey = format!("k{}", key % 30).into();
        let operation = if wait == 0 { 2 } else { 1 };
        let claim = claim(&key, operation, self.now.as_millis() as u64 + 60);
        if self.processes[process].submit(claim, self.now).is_ok() {
            self.unsettled.insert((process, key));
        }
        prop_assert!(self.processes[process].len() <= settings().queue);
        if arrives && let Some(rows) = self.table.late.pop() {
            self.table.apply(&rows);
        }
        self.call(process, fate)?;
        self.now += ms(wait);
        let settled = self.processes[process].expire(self.now);
        self.check(process, settled)
    }

    fn call(&mut self, process: usize, fate: Fate) -> Result<(), TestCaseError> {
        let now = self.now;
        let batch = &mut self.processes[process];
        let settled = match batch.step(now) {
            ClaimStep::Transact(number, rows) => {
                prop_assert!(rows.len() <= settings().batch);
                let answer = self.table.transact(rows, fate);
                batch.on_transact(number, answer, now)
            }
            ClaimStep::ReadBack(number, keys) => {
                *self.counts.entry("read back").or_default() += 1;
                let row = |key| self.table.rows.get_key_value(key);
                let rows = keys.iter().filter_map(row);
                let rows = rows
                    .map(|(key, holder)| (key.clone(), holder.clone()))
                    .collect();
                let rows = matches!(fate, Fate::Answered | Fate::Late).then_some(rows);
                batch.on_read(number, rows, now)
            }
            ClaimStep::Wait(until) => {
                prop_assert!(until.is_some() || batch.is_empty(), "claims wait forever");
                Vec::new()
            }
        };
        self.check(process, settled)
    }

    fn check(&mut self, process: usize, settled: Vec<Settled>) -> Result<(), TestCaseError> {
        for Settled {
            key,
            operation,
            verdict,
        } in settled
        {
            prop_assert!(
                self.unsettled.remove(&(process, key.clone())),
                "settled twice"
            );
            let name = match verdict {
                ClaimVerdict::Won => {
                    let winner = *self
                        .winners
                        .entry(key.clone())
                        .or_insert((process, operation));
                    prop_assert_eq!(winner, (process, operation), "two winners of {}", &key);
                    let holder = self.table.rows.get(&key);
                    prop_assert_eq!(holder.map(|h| h.operation), Some(operation));
                    "won"
                }
                ClaimVerdict::Held(holder) => {
                    prop_assert_eq!(self.table.rows.get(&key), Some(&holder));
                    "held"
                }
                ClaimVerdict::HeldEarlier => "held earlier",
                ClaimVerdict::Refused(ClaimRefusal::Unreachable) => "unreachable",
                ClaimVerdict::Refused(_) => "refused",
            };
            *self.counts.entry(name).or_default() += 1;
        }
        Ok(())
    }
}

/// Guards against two operations that both won one key, a win without a row, claims that are
/// never settled or settled twice, and batches beyond their limits.
#[test]
fn one_winner_per_key() {
    let config = Config {
        cases: 1_000,
        failure_persistence: None,
        ..Config::default()
    };
    let seed = config.rng_seed;
    let counts = RefCell::new(BTreeMap::<&str, usize>::new());
    let op = (0..3_usize, any::<u8>(), 0..8_u64, fate(), any::<bool>());
    let result = TestRunner::new(config).run(&prop::collection::vec(op, 1..200), |ops| {
        let mut run = Run {
            processes: ["a", "b", "c"].map(batch).into(),
            table: Table::default(),
            now: ms(0),
            winners: BTreeMap::new(),
            unsettled: BTreeSet::new(),
            counts: BTreeMap::new(),
        };
        for op in &ops {
            run.step(op)?;
        }
        let end = run.now + ms(60);
        for process in 0..3 {
            let settled = run.processes[process].expire(end);
            run.check(process, settled)?;
        }
        prop_assert!(
            run.unsettled.is_empty(),
            "never settled: {:?}",
            run.unsettled
        );
        for (name, n) in run.counts {
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

/// Guards against a batch that leaves too early, never, or with a queue that has no bound, and
/// against claims that wait for an unreachable table service.
#[test]
fn batching_and_refusals() {
    let mut claims = batch("a");
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
        panic!("a full batch leaves at once");
    };
    assert_eq!(rows.len(), 4);
    assert!(matches!(claims.step(ms(4)), ClaimStep::Transact(..)));
    assert_eq!(claims.step(ms(9)), ClaimStep::Wait(Some(ms(1_000))));
    let settled = claims.on_transact(first, ClaimAnswer::NotSent, ms(9));
    let unreachable = ClaimVerdict::Refused(ClaimRefusal::Unreachable);
    assert!(settled.len() == 4 && settled.iter().all(|s| s.verdict == unreachable));
    assert_eq!(
        claims.submit(claim("x", 1, 1_000), ms(28)),
        Err(ClaimRefusal::Unreachable)
    );
    assert_eq!(claims.submit(claim("x", 1, 1_000), ms(29)), Ok(()));
}
