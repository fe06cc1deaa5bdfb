//! Racing operators on a faulty platform, checked for linearizability.
//!
//! The sequential specification is a register with the generation in force and the change that
//! became it. A change of unknown outcome takes effect at any later time or never: its response
//! stands at the end of the history, and where its base is not in force it has no effect, so
//! "never" is the order that puts it last.

mod common;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{client, run};
use fastrand::Rng;
use platform::{ApplyError, Client, Committed, Expect, HEAD_ROW, Head, Put, apply, history_row};
use serde_json::json;
use standins::platform::{Platform, PlatformFaults};
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

const OPERATORS: usize = 5;
const CHANGES: usize = 8;
const READERS: usize = 2;
const READS: usize = 12;
/// Shorter than the longest delay of the platform, so that writes take effect after their
/// client has given up.
const TIMEOUT: Duration = Duration::from_millis(25);
const LONGEST_DELAY_MS: u64 = 45;

/// One operation with what its caller was told; changes are named by their author.
#[derive(Clone, Debug, PartialEq)]
enum Operation {
    Read {
        generation: u64,
        author: Box<str>,
    },
    Accepted {
        base: u64,
        author: Box<str>,
        generation: u64,
    },
    Conflict {
        base: u64,
    },
    NotApplied,
    Unknown {
        base: u64,
        author: Box<str>,
    },
}

struct HeadSpec;

impl Specification for HeadSpec {
    type State = (u64, Box<str>);
    type Operation = Operation;

    fn init() -> Self::State {
        (0, "".into())
    }

    fn apply(operation: &Operation, state: &Self::State) -> (bool, Self::State) {
        let keep = |valid| (valid, state.clone());
        match operation {
            Operation::Read { generation, author } => {
                keep(*generation == state.0 && *author == state.1)
            }
            Operation::Accepted {
                base,
                author,
                generation,
            } => {
                if *base == state.0 && *generation == base + 1 {
                    (true, (*generation, author.clone()))
                } else {
                    keep(false)
                }
            }
            Operation::Conflict { base } => keep(*base != state.0),
            Operation::Unknown { base, author } if *base == state.0 => {
                (true, (base + 1, author.clone()))
            }
            Operation::Unknown { .. } | Operation::NotApplied => keep(true),
        }
    }
}

/// The call of an operation or, with an outcome, its response.
type Event = (usize, Option<Operation>);

/// Calls and responses in the order of their occurrence.
#[derive(Clone, Default)]
struct Recorder(Arc<Mutex<Vec<Event>>>);

impl Recorder {
    fn call(&self) -> usize {
        let mut events = self.0.lock().unwrap();
        let id = events.len();
        events.push((id, None));
        id
    }

    fn response(&self, id: usize, operation: Operation) {
        self.0.lock().unwrap().push((id, Some(operation)));
    }

    /// Operations that have a response.
    fn operations(&self) -> Vec<Operation> {
        self.0
            .lock()
            .unwrap()
            .iter()
            .filter_map(|(_, operation)| operation.clone())
            .collect()
    }

    /// The history without reads that failed, and with unknown outcomes at its end.
    fn history(&self) -> History<Operation> {
        let events = self.0.lock().unwrap().clone();
        let find = |id| {
            events
                .iter()
                .find_map(|(i, o)| o.as_ref().filter(|_| *i == id))
                .cloned()
        };
        let mut actions = Vec::new();
        let mut open = Vec::new();
        for (id, event) in &events {
            match (event, find(*id)) {
                (None, Some(operation)) => actions.push((*id, Action::Call(operation))),
                (Some(operation @ Operation::Unknown { .. }), _) => {
                    open.push((*id, Action::Response(operation.clone())));
                }
                (Some(operation), _) => actions.push((*id, Action::Response(operation.clone()))),
                (None, None) => {}
            }
        }
        actions.extend(open);
        assert!(!actions.is_empty(), "empty history");
        History::from_actions(actions)
    }
}

/// How operators change the configuration; all but the first are wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Protocol {
    Real,
    /// A lost answer counts as "not applied".
    NoReadBack,
    /// The transaction has no conditions.
    NoCondition,
}

async fn change(
    protocol: Protocol,
    client: &Client,
    base: u64,
    author: &str,
    rng: &mut Rng,
) -> Operation {
    if protocol != Protocol::Real {
        return careless(protocol, client, base, author).await;
    }
    match apply(client, base, author.as_bytes(), author, rng).await {
        Ok(generation) => Operation::Accepted {
            base,
            author: author.into(),
            generation,
        },
        Err(report) => match report.current_context() {
            ApplyError::Conflict(_) | ApplyError::UnknownBase(_) => Operation::Conflict { base },
            ApplyError::NotApplied => Operation::NotApplied,
            ApplyError::Unknown { .. } => Operation::Unknown {
                base,
                author: author.into(),
            },
        },
    }
}

/// A change by one of the wrong protocols.
async fn careless(protocol: Protocol, client: &Client, base: u64, author: &str) -> Operation {
    let prepared = async {
        Ok((
            client.head().await?,
            client.put_object(author.as_bytes()).await?,
        ))
    };
    let prepared: platform::Result<_> = prepared.await;
    let Ok((current, object)) = prepared else {
        return Operation::NotApplied;
    };
    if protocol != Protocol::NoCondition && current.generation() != base {
        return Operation::Conflict { base };
    }
    let (expect, new) = match (protocol, current.version) {
        (Protocol::NoCondition, _) => (Expect::Any, Expect::Any),
        (_, 0) => (Expect::Absent, Expect::Absent),
        (_, version) => (Expect::Version(version), Expect::Absent),
    };
    let generation = base + 1;
    let head = Head {
        generation,
        parent: base,
        object,
        operation: author.into(),
        author: author.into(),
        time_ms: 0,
    };
    let value = Some(json!(head));
    let puts = [
        Put {
            row: HEAD_ROW.into(),
            expect,
            value: value.clone(),
        },
        Put {
            row: history_row(generation),
            expect: new,
            value,
        },
    ];
    match client.transact(&puts).await {
        Ok(Committed::Yes(_)) => Operation::Accepted {
            base,
            author: author.into(),
            generation,
        },
        Ok(Committed::Conflict(_)) => Operation::Conflict { base },
        Err(_) if protocol == Protocol::NoReadBack => Operation::NotApplied,
        Err(_) => Operation::Unknown {
            base,
            author: author.into(),
        },
    }
}

/// Reads the head and records it; the base for a change.
async fn read(client: &Client, recorder: &Recorder) -> Option<u64> {
    let id = recorder.call();
    let head = client.head().await.ok()?.head;
    let generation = head.as_ref().map_or(0, |head| head.generation);
    let author = head.map_or_else(Box::default, |head| head.author);
    recorder.response(id, Operation::Read { generation, author });
    Some(generation)
}

async fn operate(
    protocol: Protocol,
    addr: SocketAddr,
    recorder: Recorder,
    name: usize,
    mut rng: Rng,
) {
    let client = client(addr, TIMEOUT);
    for i in 0..CHANGES {
        let base = loop {
            if let Some(base) = read(&client, &recorder).await {
                break base;
            }
            runtime::sleep(Duration::from_millis(rng.u64(1..5))).await;
        };
        let author = format!("operator-{name}-change-{i}");
        let id = recorder.call();
        let operation = change(protocol, &client, base, &author, &mut rng).await;
        recorder.response(id, operation);
        runtime::sleep(Duration::from_millis(rng.u64(..10))).await;
    }
}

async fn disturb(platform: Platform, mut rng: Rng) {
    loop {
        let calm = PlatformFaults::default();
        let faults = match rng.u32(..6) {
            0 => PlatformFaults { down: true, ..calm },
            1 => PlatformFaults {
                slow_ms: rng.u64(..LONGEST_DELAY_MS),
                ..calm
            },
            2 => PlatformFaults {
                lose_requests: rng.u64(1..4),
                ..calm
            },
            3 | 4 => PlatformFaults {
                lose_answers: rng.u64(1..4),
                slow_ms: rng.u64(..10),
                lose_only_transactions: true,
                ..calm
            },
            _ => calm,
        };
        platform.set_faults(|f| *f = faults);
        runtime::sleep(Duration::from_millis(rng.u64(5..25))).await;
    }
}

/// Runs all operators and readers of one seed.
async fn race(protocol: Protocol, platform: &Platform, addr: SocketAddr, seed: u64) -> Recorder {
    let mut rng = Rng::with_seed(seed);
    let recorder = Recorder::default();
    let disturbing = runtime::spawn(disturb(platform.clone(), rng.fork()));
    let mut tasks = Vec::new();
    for name in 0..OPERATORS {
        tasks.push(runtime::spawn(operate(
            protocol,
            addr,
            recorder.clone(),
            name,
            rng.fork(),
        )));
    }
    for _ in 0..READERS {
        let (recorder, mut rng) = (recorder.clone(), rng.fork());
        tasks.push(runtime::spawn(async move {
            let client = client(addr, TIMEOUT);
            for _ in 0..READS {
                read(&client, &recorder).await;
                runtime::sleep(Duration::from_millis(rng.u64(..30))).await;
            }
        }));
    }
    for task in tasks {
        task.await;
    }
    disturbing.cancel().await;
    platform.set_faults(|f| *f = PlatformFaults::default());
    let calm = client(addr, Duration::from_secs(20));
    read(&calm, &recorder)
        .await
        .expect("the platform is healthy again");
    recorder
}

/// Checks directly that the accepted generations form one chain and that each change became a
/// generation exactly once if it was accepted, and never if it was refused.
fn check_chain(platform: &Platform, operations: &[Operation]) -> Result<(), String> {
    let decode = |row: standins::platform::RowState| -> Head {
        serde_json::from_value(row.value.unwrap()).unwrap()
    };
    let rows = platform.rows("config/");
    let (heads, history): (Vec<_>, Vec<_>) =
        rows.into_iter().partition(|row| &*row.row == HEAD_ROW);
    let history: Vec<Head> = history.into_iter().map(decode).collect();
    for (i, head) in history.iter().enumerate() {
        if (head.generation, head.parent) != (i as u64 + 1, i as u64) {
            return Err(format!(
                "generation {} follows {}",
                head.generation, head.parent
            ));
        }
        if history
            .iter()
            .filter(|other| other.author == head.author)
            .count()
            > 1
        {
            return Err(format!("{} took effect twice", head.author));
        }
    }
    if heads.into_iter().next().map(decode).as_ref() != history.last() {
        return Err("the head is not the newest generation".to_owned());
    }
    let became = |author: &str| history.iter().find(|head| &*head.author == author);
    let mut confirmed = 0;
    for operation in operations {
        if let Operation::Accepted {
            author, generation, ..
        } = operation
        {
            confirmed += 1;
            if became(author).map(|head| head.generation) != Some(*generation) {
                return Err(format!("{author} is not generation {generation}"));
            }
        }
    }
    let open = |author: &str| {
        operations
            .iter()
            .any(|o| matches!(o, Operation::Unknown { author: a, .. } if &**a == author))
    };
    let settled = history.iter().filter(|head| !open(&head.author)).count();
    if settled != confirmed {
        return Err(format!(
            "{settled} settled generations, {confirmed} confirmed changes"
        ));
    }
    Ok(())
}

/// Runs the seeds; returns how many of them each check rejects.
fn rejected(protocol: Protocol, seeds: std::ops::Range<u64>) -> (usize, usize) {
    let (mut by_history, mut by_chain) = (0, 0);
    for seed in seeds {
        let (history, chain) = run(|platform, addr| async move {
            let recorder = race(protocol, &platform, addr, seed).await;
            let operations = recorder.operations();
            let count = |f: fn(&Operation) -> bool| operations.iter().filter(|o| f(o)).count();
            let accepted = count(|o| matches!(o, Operation::Accepted { .. }));
            let stats = platform.stats();
            println!(
                "protocol={protocol:?} seed={seed} accepted={accepted} conflicts={} unknown={} \
                 not_applied={} reads={} lost_answers={} lost_requests={} dropped={}",
                count(|o| matches!(o, Operation::Conflict { .. })),
                count(|o| matches!(o, Operation::Unknown { .. })),
                count(|o| matches!(o, Operation::NotApplied)),
                count(|o| matches!(o, Operation::Read { .. })),
                stats.lost_answers,
                stats.lost_requests,
                stats.dropped,
            );
            assert!(
                accepted > 0 && stats.transactions > 0,
                "nothing was accepted"
            );
            let linearizable = WGLChecker::<HeadSpec>::is_linearizable(recorder.history());
            let chain = check_chain(&platform, &operations);
            println!("  linearizable={linearizable} chain={chain:?}");
            (!linearizable, chain.is_err())
        });
        by_history += usize::from(history);
        by_chain += usize::from(chain);
    }
    (by_history, by_chain)
}

/// Guards against lost, doubled or branching configuration changes when operators race on a
/// platform that is slow, down, or loses answers.
#[test]
fn racing_changes_form_one_chain() {
    assert_eq!(rejected(Protocol::Real, 0..12), (0, 0));
}

/// Guards against checks that accept a protocol which reports an effective change as refused.
#[test]
fn checks_reject_a_protocol_without_read_back() {
    let (by_history, by_chain) = rejected(Protocol::NoReadBack, 0..6);
    assert!(
        by_history > 0 && by_chain > 0,
        "{by_history} and {by_chain} rejected"
    );
}

/// Guards against checks that accept a protocol whose changes overwrite each other.
#[test]
fn checks_reject_a_protocol_without_conditions() {
    let (by_history, by_chain) = rejected(Protocol::NoCondition, 0..6);
    assert!(
        by_history > 0 && by_chain > 0,
        "{by_history} and {by_chain} rejected"
    );
}
