//! Concurrent configuration changes on a faulty platform, checked for linearizability.
//!
//! The sequential specification is a register with the generation in force and the author of the
//! change that became it. A change with an unknown outcome may take effect at any later time or
//! never. Its response is therefore placed at the end of the history; it has no effect where its
//! base is not in force, so ordering it last covers "never".

mod common;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::{client, run_with_platform};
use fastrand::Rng;
use platform::{
    ApplyError, Client, HEAD_ROW, Head, Precondition, Put, TransactionOutcome, apply, history_row,
};
use serde_json::json;
use standins::platform::{Platform, PlatformFaults};
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

/// Operators whose client gives a slow request up.
const HASTY_OPERATORS: usize = 3;
/// Operators whose client waits for each response, however busy the machine is.
const PATIENT_OPERATORS: usize = 2;
const CHANGES_PER_OPERATOR: usize = 8;
/// Limit of the changes that an operator makes while none of any operator has been accepted.
const MAX_CHANGES_PER_OPERATOR: usize = 50;
const READER_COUNT: usize = 2;
const READS_PER_READER: usize = 12;
/// Shorter than [`MAX_DELAY_MS`], so that some writes take effect after their client has timed out.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(25);
const MAX_DELAY_MS: u64 = 45;
const PATIENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Operation with the outcome reported to its client; each change has a unique author.
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
        let unchanged = |valid| (valid, state.clone());
        match operation {
            Operation::Read { generation, author } => {
                unchanged(*generation == state.0 && *author == state.1)
            }
            Operation::Accepted {
                base,
                author,
                generation,
            } => {
                if *base == state.0 && *generation == base + 1 {
                    (true, (*generation, author.clone()))
                } else {
                    unchanged(false)
                }
            }
            Operation::Conflict { base } => unchanged(*base != state.0),
            Operation::Unknown { base, author } if *base == state.0 => {
                (true, (base + 1, author.clone()))
            }
            Operation::Unknown { .. } | Operation::NotApplied => unchanged(true),
        }
    }
}

/// Id of an operation, and its outcome if the event is the response.
type Event = (usize, Option<Operation>);

/// Records calls and responses in the order of occurrence.
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

    fn has_accepted(&self) -> bool {
        let is_accepted = |o: &Operation| matches!(o, Operation::Accepted { .. });
        self.operations().iter().any(is_accepted)
    }

    /// Returns the operations that have a response.
    fn operations(&self) -> Vec<Operation> {
        self.0
            .lock()
            .unwrap()
            .iter()
            .filter_map(|(_, operation)| operation.clone())
            .collect()
    }

    /// Returns the history without failed reads; responses with an unknown outcome come last.
    fn history(&self) -> History<Operation> {
        let events = self.0.lock().unwrap().clone();
        let find = |id| {
            events
                .iter()
                .find_map(|(i, o)| o.as_ref().filter(|_| *i == id))
                .cloned()
        };
        let mut actions = Vec::new();
        let mut unknown_responses = Vec::new();
        for (id, event) in &events {
            match (event, find(*id)) {
                (None, Some(operation)) => actions.push((*id, Action::Call(operation))),
                (Some(operation @ Operation::Unknown { .. }), _) => {
                    unknown_responses.push((*id, Action::Response(operation.clone())));
                }
                (Some(operation), _) => actions.push((*id, Action::Response(operation.clone()))),
                (None, None) => {}
            }
        }
        actions.extend(unknown_responses);
        assert!(!actions.is_empty(), "empty history");
        History::from_actions(actions)
    }
}

/// How operators change the configuration; only `Real` is correct.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Protocol {
    Real,
    /// Reports a lost response as "not applied".
    NoReadBack,
    /// Sends the transaction without preconditions.
    NoCondition,
}

async fn apply_change(
    protocol: Protocol,
    client: &Client,
    base: u64,
    author: &str,
    rng: &mut Rng,
) -> Operation {
    if protocol != Protocol::Real {
        return apply_without_safeguard(protocol, client, base, author).await;
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

/// Applies a change with one of the incorrect protocols.
async fn apply_without_safeguard(
    protocol: Protocol,
    client: &Client,
    base: u64,
    author: &str,
) -> Operation {
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
    let (precondition, history_precondition) = match (protocol, current.version) {
        (Protocol::NoCondition, _) => (Precondition::Any, Precondition::Any),
        (_, 0) => (Precondition::Absent, Precondition::Absent),
        (_, version) => (Precondition::Version(version), Precondition::Absent),
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
            precondition,
            value: value.clone(),
        },
        Put {
            row: history_row(generation),
            precondition: history_precondition,
            value,
        },
    ];
    match client.transact(&puts).await {
        Ok(TransactionOutcome::Committed(_)) => Operation::Accepted {
            base,
            author: author.into(),
            generation,
        },
        Ok(TransactionOutcome::Conflict(_)) => Operation::Conflict { base },
        Err(_) if protocol == Protocol::NoReadBack => Operation::NotApplied,
        Err(_) => Operation::Unknown {
            base,
            author: author.into(),
        },
    }
}

/// Reads the head, records the read and returns the generation in force.
async fn read(client: &Client, recorder: &Recorder) -> Option<u64> {
    let id = recorder.call();
    let head = client.head().await.ok()?.head;
    let generation = head.as_ref().map_or(0, |head| head.generation);
    let author = head.map_or_else(Box::default, |head| head.author);
    recorder.response(id, Operation::Read { generation, author });
    Some(generation)
}

async fn run_operator(
    protocol: Protocol,
    addr: SocketAddr,
    timeout: Duration,
    recorder: Recorder,
    name: usize,
    mut rng: Rng,
) {
    let reader = client(addr, PATIENT_TIMEOUT);
    let client = client(addr, timeout);
    for i in 0..MAX_CHANGES_PER_OPERATOR {
        if i >= CHANGES_PER_OPERATOR && recorder.has_accepted() {
            break;
        }
        let base = loop {
            if let Some(base) = read(&reader, &recorder).await {
                break base;
            }
            runtime::sleep(Duration::from_millis(rng.u64(1..5))).await;
        };
        let author = format!("operator-{name}-change-{i}");
        let id = recorder.call();
        let operation = apply_change(protocol, &client, base, &author, &mut rng).await;
        recorder.response(id, operation);
        runtime::sleep(Duration::from_millis(rng.u64(..10))).await;
    }
}

/// Returns the number of requests that the platform has received.
fn request_count(platform: &Platform) -> u64 {
    let s = platform.stats();
    s.table_reads + s.transactions + s.object_writes + s.lost_requests + s.dropped
}

async fn inject_faults(platform: Platform, mut rng: Rng) {
    loop {
        let healthy = PlatformFaults::default();
        let faults = match rng.u32(..6) {
            0 => PlatformFaults {
                down: true,
                ..healthy
            },
            1 => PlatformFaults {
                slow_ms: rng.u64(..MAX_DELAY_MS),
                ..healthy
            },
            2 => PlatformFaults {
                lose_requests: rng.u64(1..4),
                ..healthy
            },
            3 | 4 => PlatformFaults {
                lose_answers: rng.u64(1..4),
                slow_ms: rng.u64(..10),
                lose_only_transactions: true,
                ..healthy
            },
            _ => healthy,
        };
        platform.set_faults(|f| *f = faults);
        // For a number of requests instead of a time: on a busy machine every request of a change
        // would meet another fault.
        let end = request_count(&platform) + rng.u64(5..25);
        while request_count(&platform) < end {
            runtime::sleep(Duration::from_millis(1)).await;
        }
    }
}

/// Runs all operators and readers concurrently with the given seed.
async fn run_seed(
    protocol: Protocol,
    platform: &Platform,
    addr: SocketAddr,
    seed: u64,
) -> Recorder {
    let mut rng = Rng::with_seed(seed);
    let recorder = Recorder::default();
    let fault_injection = runtime::spawn(inject_faults(platform.clone(), rng.fork()));
    let mut tasks = Vec::new();
    let operator = |timeout, name, rng| {
        let recorder = recorder.clone();
        runtime::spawn(run_operator(protocol, addr, timeout, recorder, name, rng))
    };
    for name in 0..HASTY_OPERATORS {
        tasks.push(operator(CLIENT_TIMEOUT, name, rng.fork()));
    }
    for _ in 0..READER_COUNT {
        let (recorder, mut rng) = (recorder.clone(), rng.fork());
        tasks.push(runtime::spawn(async move {
            let client = client(addr, CLIENT_TIMEOUT);
            for _ in 0..READS_PER_READER {
                read(&client, &recorder).await;
                runtime::sleep(Duration::from_millis(rng.u64(..30))).await;
            }
        }));
    }
    for name in HASTY_OPERATORS..HASTY_OPERATORS + PATIENT_OPERATORS {
        tasks.push(operator(PATIENT_TIMEOUT, name, rng.fork()));
    }
    for task in tasks {
        task.await;
    }
    fault_injection.cancel().await;
    platform.set_faults(|f| *f = PlatformFaults::default());
    let healthy = client(addr, PATIENT_TIMEOUT);
    read(&healthy, &recorder)
        .await
        .expect("the platform is healthy again");
    recorder
}

/// Checks, independently of the linearizability checker, that the accepted generations form one
/// chain, and that a change became a generation exactly once if it was accepted and never if it was
/// rejected.
fn check_chain(platform: &Platform, operations: &[Operation]) -> Result<(), String> {
    let decode = |row: standins::platform::Row| -> Head {
        serde_json::from_value(row.value.unwrap()).unwrap()
    };
    let rows = platform.rows("config/");
    let (heads, history): (Vec<_>, Vec<_>) =
        rows.into_iter().partition(|row| &*row.name == HEAD_ROW);
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
    let entry_of = |author: &str| history.iter().find(|head| &*head.author == author);
    let mut confirmed = 0;
    for operation in operations {
        if let Operation::Accepted {
            author, generation, ..
        } = operation
        {
            confirmed += 1;
            if entry_of(author).map(|head| head.generation) != Some(*generation) {
                return Err(format!("{author} is not generation {generation}"));
            }
        }
    }
    let has_unknown_outcome = |author: &str| {
        operations
            .iter()
            .any(|o| matches!(o, Operation::Unknown { author: a, .. } if &**a == author))
    };
    let resolved = history
        .iter()
        .filter(|head| !has_unknown_outcome(&head.author))
        .count();
    if resolved != confirmed {
        return Err(format!(
            "{resolved} resolved generations, {confirmed} confirmed changes"
        ));
    }
    Ok(())
}

/// Runs the seeds; returns how many the linearizability check and the chain check reject.
fn count_rejected(protocol: Protocol, seeds: std::ops::Range<u64>) -> (usize, usize) {
    let (mut by_linearizability, mut by_chain) = (0, 0);
    for seed in seeds {
        let (history, chain) = run_with_platform(|platform, addr| async move {
            let recorder = run_seed(protocol, &platform, addr, seed).await;
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
        by_linearizability += usize::from(history);
        by_chain += usize::from(chain);
    }
    (by_linearizability, by_chain)
}

/// Guards against lost, duplicate or branching configuration changes when operators change the
/// configuration concurrently on a platform that is slow, down, or loses requests and responses.
#[test]
fn racing_changes_form_one_chain() {
    assert_eq!(count_rejected(Protocol::Real, 0..12), (0, 0));
}

/// Guards against checks that accept a protocol which reports an applied change as not applied.
#[test]
fn checks_reject_a_protocol_without_read_back() {
    let (by_linearizability, by_chain) = count_rejected(Protocol::NoReadBack, 0..6);
    assert!(
        by_linearizability > 0 && by_chain > 0,
        "{by_linearizability} and {by_chain} rejected"
    );
}

/// Guards against checks that accept a protocol in which changes overwrite each other.
#[test]
fn checks_reject_a_protocol_without_conditions() {
    let (by_linearizability, by_chain) = count_rejected(Protocol::NoCondition, 0..6);
    assert!(
        by_linearizability > 0 && by_chain > 0,
        "{by_linearizability} and {by_chain} rejected"
    );
}
