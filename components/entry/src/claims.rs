//! Claims of caller-supplied keys in the table service; only the process that wins the claim of a
//! key executes its work.

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

/// Longest interval between two checks of the claim queue.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Pending claims of this process.
pub struct Claims {
    /// Groups claims into transactions.
    batcher: Mutex<ClaimBatcher>,
    /// Sender of the outcome to the waiting task, per row and operation.
    waiting: Mutex<HashMap<(RowKey, u64), Sender<ClaimOutcome>>>,
    /// Wakes `run` after a submission or an answer of the table service.
    wake: (Sender<()>, Receiver<()>),
}

impl Claims {
    pub fn new(me: ProcessIdentity) -> Self {
        Claims {
            batcher: Mutex::new(ClaimBatcher::new(me, ClaimSettings::default())),
            waiting: Mutex::new(HashMap::new()),
            wake: async_channel::bounded(1),
        }
    }

    /// Claims a row for an operation of this process and waits for the outcome.
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
        if let Err(refusal) = self.lock_batcher().submit(claim, now) {
            self.lock_waiting().remove(&(key, operation));
            return ClaimOutcome::Refused(refusal);
        }
        self.wake();
        // `run` settles every claim at its deadline at the latest.
        rx.recv()
            .await
            .unwrap_or(ClaimOutcome::Refused(ClaimRefusal::DeadlinePassed))
    }

    fn wake(&self) {
        // A full channel means that `run` has a wake-up pending.
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
                // The send fails if the execution has been cancelled.
                let _ = tx.try_send(outcome);
            }
        }
    }

    fn lock_batcher(&self) -> MutexGuard<'_, ClaimBatcher> {
        self.batcher.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_waiting(&self) -> MutexGuard<'_, HashMap<(RowKey, u64), Sender<ClaimOutcome>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the key of the row that holds the claim of the work.
pub fn row_key(service: &str, id: WorkId) -> RowKey {
    let hash = match id {
        WorkId::Key(hash) => blake3::Hash::from_bytes(hash),
        WorkId::Ticket(nonce) => blake3::hash(&nonce),
    };
    format!("claims/{service}/{}", hash.to_hex()).into()
}

/// Submits claims to the table service until the process ends.
pub async fn run(node: Arc<Node>) {
    let claims = &node.claims;
    loop {
        let now = node.now();
        let expired = claims.lock_batcher().expire(now);
        claims.deliver(expired);
        let step = claims.lock_batcher().step(now);
        match step {
            ClaimStep::Transact(number, rows) => {
                runtime::spawn(transact(node.clone(), number, rows)).detach();
            }
            ClaimStep::ReadBack(number, keys) => {
                runtime::spawn(read_back(node.clone(), number, keys)).detach();
            }
            ClaimStep::Wait(until) => {
                let wait = until.map_or(MAX_POLL_INTERVAL, |u| {
                    u.saturating_sub(now).min(MAX_POLL_INTERVAL)
                });
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
        Ok(TransactionOutcome::Conflict(rows)) => match decode_holders(rows) {
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
        .lock_batcher()
        .on_transact(number, answer, node.now());
    node.claims.deliver(settled);
    node.claims.wake();
}

async fn read_back(node: Arc<Node>, number: u64, keys: Vec<RowKey>) {
    let holders = read_rows(&node, keys).await.and_then(decode_holders);
    let settled = node
        .claims
        .lock_batcher()
        .on_read_back(number, holders, node.now());
    node.claims.deliver(settled);
    node.claims.wake();
}

/// Reads the rows; `None` if any of them cannot be read.
async fn read_rows(node: &Node, keys: Vec<RowKey>) -> Option<Vec<Row>> {
    let mut rows = Vec::new();
    for key in keys {
        rows.push(node.platform.get(&key).await.ok()?);
    }
    Some(rows)
}

/// Decodes the rows that exist; `None` if any of them has an unexpected format.
fn decode_holders(rows: Vec<Row>) -> Option<Vec<(RowKey, ClaimHolder)>> {
    rows.into_iter()
        .filter_map(|row| Some((row.name, row.value?)))
        .map(|(name, value)| Some((name, serde_json::from_value(value).ok()?)))
        .collect()
}
