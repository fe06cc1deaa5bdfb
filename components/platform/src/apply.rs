//! Applying a change to the configuration.
//!
//! The object is written first. One transaction then writes the head row, provided that it is
//! unchanged since the base generation, and the history row of the new generation, provided that
//! it does not exist. History rows are immutable, so they determine which change became a
//! generation, even if the response to the transaction was lost and the head has changed since.

use std::fmt;
use std::time::Duration;

use config::Generation;
use error_stack::{Report, ResultExt};
use fastrand::Rng;
use serde_json::json;

use crate::client::Client;
use crate::date::format_time;
use crate::error::{Error, Result};
use crate::head::{HEAD_ROW, Head, VersionedHead, decode_head, history_row};
use crate::table::{Precondition, Put, Row, TransactionOutcome};

/// Why a change was not applied, or not known to be applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyError {
    /// The configuration has changed since the base generation; this change has no effect, now or
    /// later. Holds the change that replaced the base generation or, if the base was already
    /// outdated, the configuration in force.
    Conflict(Box<Head>),
    /// The base generation is newer than the configuration in force; this change has no effect.
    UnknownBase(Generation),
    /// The platform is unreachable or rejected the change; it has no effect, now or later.
    NotApplied,
    /// The platform became unreachable. The change may have become this generation, may still
    /// become it, or may never do so.
    Unknown {
        /// Generation of the change if it takes effect.
        generation: Generation,
        operation: Box<str>,
    },
}

impl fmt::Display for ApplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ApplyError::Conflict(head) => write!(
                f,
                "generation {} was made by {} at {}; this change has no effect",
                head.generation,
                head.author,
                format_time(head.time_ms)
            ),
            ApplyError::UnknownBase(generation) => write!(
                f,
                "the configuration in force is generation {generation}, older than the base; \
                 this change has no effect"
            ),
            ApplyError::NotApplied => {
                f.write_str("the platform did not accept the change; it has no effect")
            }
            ApplyError::Unknown {
                generation,
                operation,
            } => write!(
                f,
                "the platform cannot be reached; operation {operation} may have become \
                 generation {generation} or may still become it"
            ),
        }
    }
}

impl std::error::Error for ApplyError {}

/// Replaces the configuration of generation `base` with `bytes`; returns the new generation.
pub async fn apply(
    client: &Client,
    base: Generation,
    bytes: &[u8],
    author: &str,
    rng: &mut Rng,
) -> std::result::Result<Generation, Report<ApplyError>> {
    let prepared = prepare(client, base, bytes, rng).await;
    let (current, object) = prepared.change_context(ApplyError::NotApplied)?;
    if current.generation() != base {
        return Err(Report::new(match current.head {
            Some(head) if head.generation > base => ApplyError::Conflict(Box::new(head)),
            head => ApplyError::UnknownBase(head.map_or(0, |head| head.generation)),
        }));
    }
    let head = Head {
        generation: base + 1,
        parent: base,
        object,
        operation: format!("{:032x}", rng.u128(..)).into(),
        author: author.into(),
        time_ms: client.time_ms().unwrap_or_default(),
    };
    commit(client, current.version, &head, rng).await
}

/// Reads the head and writes the object; neither changes the configuration.
async fn prepare(
    client: &Client,
    base: Generation,
    bytes: &[u8],
    rng: &mut Rng,
) -> Result<(VersionedHead, Box<str>)> {
    let mut attempt = 0;
    loop {
        let prepared = async {
            let current = client.head().await?;
            if current.generation() != base {
                return Ok((current, Box::default()));
            }
            let object = client.put_object(bytes).await?;
            Ok((current, object))
        };
        match prepared.await {
            Ok(done) => return Ok(done),
            Err(report) if !should_retry(client, &report, attempt) => return Err(report),
            Err(report) => log::info!("event=prepare_failed attempt={attempt} err=\"{report}\""),
        }
        back_off(client, attempt, rng).await;
        attempt += 1;
    }
}

/// Retries the transaction until its outcome is known or the attempts are exhausted.
async fn commit(
    client: &Client,
    version: u64,
    head: &Head,
    rng: &mut Rng,
) -> std::result::Result<Generation, Report<ApplyError>> {
    let puts = transaction_puts(version, head);
    // Whether an earlier attempt may still take effect.
    let mut may_take_effect = false;
    let mut attempt = 0;
    loop {
        let report = match client.transact(&puts).await {
            Ok(TransactionOutcome::Committed(_)) => return Ok(head.generation),
            Ok(TransactionOutcome::Conflict(rows)) => match conflicting_change(rows) {
                Ok(Some(accepted)) => return resolve_outcome(head, accepted),
                Ok(None) => Report::new(Error::InvalidRow)
                    .attach("transaction conflict without a conflicting row"),
                Err(report) => report,
            },
            Err(report) => {
                may_take_effect |= report.current_context().may_take_effect();
                if may_take_effect
                    && let Ok(Some(accepted)) = client.history_entry(head.generation).await
                {
                    return resolve_outcome(head, accepted);
                }
                report
            }
        };
        if !should_retry(client, &report, attempt) {
            return Err(report.change_context(if may_take_effect {
                unknown_outcome(head)
            } else {
                ApplyError::NotApplied
            }));
        }
        log::info!("event=commit_failed attempt={attempt} err=\"{report}\"");
        back_off(client, attempt, rng).await;
        attempt += 1;
    }
}

fn transaction_puts(version: u64, head: &Head) -> [Put; 2] {
    let precondition = if version == 0 {
        Precondition::Absent
    } else {
        Precondition::Version(version)
    };
    let value = Some(json!(head));
    [
        Put {
            row: HEAD_ROW.into(),
            precondition,
            value: value.clone(),
        },
        Put {
            row: history_row(head.generation),
            precondition: Precondition::Absent,
            value,
        },
    ]
}

/// Returns the change that caused a conflict: from the history row if it exists, else from the head
/// row.
fn conflicting_change(rows: Vec<Row>) -> Result<Option<Head>> {
    let (head, history): (Vec<_>, Vec<_>) = rows
        .into_iter()
        .filter(|row| row.value.is_some())
        .partition(|row| &*row.name == HEAD_ROW);
    history
        .into_iter()
        .chain(head)
        .next()
        .map_or(Ok(None), decode_head)
}

/// Returns the outcome of `head`, given that `accepted` became its generation.
fn resolve_outcome(
    head: &Head,
    accepted: Head,
) -> std::result::Result<Generation, Report<ApplyError>> {
    if accepted == *head {
        return Ok(head.generation);
    }
    Err(Report::new(ApplyError::Conflict(Box::new(accepted))))
}

fn unknown_outcome(head: &Head) -> ApplyError {
    ApplyError::Unknown {
        generation: head.generation,
        operation: head.operation.clone(),
    }
}

/// Returns whether the error is transient and attempts remain.
fn should_retry(client: &Client, report: &Report<Error>, attempt: u32) -> bool {
    let transient = matches!(report.current_context(), Error::NotSent | Error::Unknown);
    transient && attempt + 1 < client.settings().apply_attempts
}

/// Sleeps for an exponentially growing pause with jitter.
async fn back_off(client: &Client, attempt: u32, rng: &mut Rng) {
    let max_pause = client.settings().backoff * 2_u32.saturating_pow(attempt.min(8));
    let pause: Duration = max_pause.mul_f64(0.5 + rng.f64() / 2.0);
    runtime::sleep(pause).await;
}
