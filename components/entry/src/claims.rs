//! Claims of caller-supplied keys in the table service.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use binding::{
    Claim, ClaimAnswer, ClaimBatcher, ClaimHolder, ClaimOutcome, ClaimRefusal, ClaimSettings,
    ClaimStep, ProcessIdentity, RowKey, SettledClaim, WorkId,
};
use futures_lite::FutureExt;
use platform::{Error, Precondition, Put, Row, TransactionOutcome};

use crate::node::Node;

/// Longest time between two looks at the queue.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Claims of this process on their way to the table service.
pub struct Claims {
    /// Batches.
    batch: Mutex<ClaimBatcher>,
    /// Receives the verdict per row and operation.
    waiting: Mutex<HashMap<(RowKey, u64), Sender<ClaimOutcome>>>,
    /// Wakes the task after a submission or an answer.
    wake: (Sender<()>, Receiver<()>),
}

impl Claims {
    /// Creates an empty set of claims.
    pub fn new(me: ProcessIdentity) -> Self {
        Claims {
            batch: Mutex::new(ClaimBatcher::new(me, ClaimSettings::default())),
            waiting: Mutex::new(HashMap::new()),
            wake: async_channel::bounded(1),
        }
    }

    /// Claims a row for an operation of this process and waits for the verdict.
    pub async fn claim(
        &self,
        key: RowKey,
        operation: u64,
        now: Duration,
        deadline: Duration,
    ) -> ClaimOutcome {
        let (tx, rx) = async_channel::bounded(1);
        let claim = Claim {
            key: key.clone(),
            operation,
            deadline,
        };
        self.lock_waiting().insert((key.clone(), operation), tx);
        if let Err(refusal) = self.lock_batch().submit(claim, now) {
            self.lock_waiting().remove(&(key, operation));
            return ClaimOutcome::Refused(refusal);
        }
        self.wake();
        // The task answers every claim at its deadline at the latest.
        rx.recv()
            .await
            .unwrap_or(ClaimOutcome::Refused(ClaimRefusal::DeadlinePassed))
    }

    fn wake(&self) {
        // A full channel means that the task is already due.
        let _ = self.wake.0.try_send(());
    }

    fn deliver(&self, settled: Vec<SettledClaim>) {
        let mut waiting = self.lock_waiting();
        for SettledClaim {
            key,
            operation,
            outcome,
        } in settled
        {
            if let Some(tx) = waiting.remove(&(key, operation)) {
                // The execution may have been cancelled.
                let _ = tx.try_send(outcome);
            }
        }
    }

    fn lock_batch(&self) -> MutexGuard<'_, ClaimBatcher> {
        self.batch.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_waiting(&self) -> MutexGuard<'_, HashMap<(RowKey, u64), Sender<ClaimOutcome>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the row of a piece of work.
pub fn row(service: &str, id: WorkId) -> RowKey {
    let hash = match id {
        WorkId::Key(hash) => blake3::Hash::from_bytes(hash),
        WorkId::Ticket(nonce) => blake3::hash(&nonce),
    };
    format!("claims/{service}/{}", hash.to_hex()).into()
}

/// Carries claims to the table service until the process ends.
pub async fn run(node: Arc<Node>) {
    let claims = &node.claims;
    loop {
        let now = node.now();
        let late = claims.lock_batch().expire(now);
        claims.deliver(late);
        let step = claims.lock_batch().step(now);
        match step {
            ClaimStep::Transact(number, rows) => {
                runtime::spawn(transact(node.clone(), number, rows)).detach();
            }
            ClaimStep::ReadBack(number, keys) => {
                runtime::spawn(read_back(node.clone(), number, keys)).detach();
            }
            ClaimStep::Wait(until) => {
                let wait = until.map_or(MAX_WAIT, |u| u.saturating_sub(now).min(MAX_WAIT));
                let woken = async { claims.wake.1.recv().await.is_ok() };
                let elapsed = async {
                    runtime::sleep(wait).await;
                    true
                };
                if !woken.or(elapsed).await {
                    return;
                }
            }
        }
    }
}

async fn transact(node: Arc<Node>, number: u64, rows: Vec<(RowKey, ClaimHolder)>) {
    let puts: Vec<Put> = rows
        .iter()
        .filter_map(|(row, holder)| {
            let value = serde_json::to_value(holder).ok()?;
            Some(Put {
                row: row.clone(),
                precondition: Precondition::Absent,
                value: Some(value),
            })
        })
        .collect();
    metrics::counter!("claim_transactions_total").increment(1);
    metrics::counter!("claims_total").increment(puts.len() as u64);
    let answer = match node.platform.transact(&puts).await {
        Ok(TransactionOutcome::Committed(_)) => ClaimAnswer::Committed,
        Ok(TransactionOutcome::Conflict(rows)) => match holders(rows) {
            Some(holders) => ClaimAnswer::Conflict(holders),
            None => ClaimAnswer::Lost,
        },
        Err(report) => match report.current_context() {
            Error::NotSent | Error::Refused(_) | Error::InvalidName => ClaimAnswer::NotSent,
            _ => ClaimAnswer::Lost,
        },
    };
    if answer == ClaimAnswer::Lost {
        metrics::counter!("claim_answers_lost_total").increment(1);
    }
    let settled = node
        .claims
        .lock_batch()
        .on_transact(number, answer, node.now());
    node.claims.deliver(settled);
    node.claims.wake();
}

async fn read_back(node: Arc<Node>, number: u64, keys: Vec<RowKey>) {
    let holders = read_rows(&node, keys).await.and_then(holders);
    let settled = node
        .claims
        .lock_batch()
        .on_read_back(number, holders, node.now());
    node.claims.deliver(settled);
    node.claims.wake();
}

/// Reads rows; `None` when one cannot be read.
async fn read_rows(node: &Node, keys: Vec<RowKey>) -> Option<Vec<Row>> {
    let mut rows = Vec::new();
    for key in keys {
        rows.push(node.platform.get(&key).await.ok()?);
    }
    Some(rows)
}

/// Decodes the rows that exist; `None` when one has an unexpected format.
fn holders(rows: Vec<Row>) -> Option<Vec<(RowKey, ClaimHolder)>> {
    rows.into_iter()
        .filter_map(|row| Some((row.name, row.value?)))
        .map(|(name, value)| Some((name, serde_json::from_value(value).ok()?)))
        .collect()
}
