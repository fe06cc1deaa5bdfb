//! Rules of the execution records that the randomized tests do not cover.

use std::time::Duration;

use binding::{AttemptOutcome, BeginResult, ExecutionPermit, RecordLimits, Records, Work, WorkId};

const NOW: Duration = Duration::from_secs(1);

fn work(key: &str, claimed: bool) -> Work {
    Work {
        id: WorkId::from_key("bid-desk", "house", key),
        digest: [0; 32],
        expires: Duration::from_secs(10),
        deadline: Duration::from_secs(5),
        claimed,
    }
}

fn run(records: &mut Records<u8>, work: &Work) -> ExecutionPermit {
    match records.begin(work, NOW) {
        BeginResult::Run(permit) => permit,
        other => panic!("expected a permit, got {other:?}"),
    }
}

/// Guards against work that runs again after its record was removed, because its claim still
/// exists, and against a retry after "not run" that loses its own claim.
#[test]
fn claimed_keys_run_only_with_a_record() {
    let mut records = Records::new(RecordLimits::default());
    assert_eq!(records.begin(&work("k", true), NOW), BeginResult::Unknown);
    let permit = run(&mut records, &work("k", false));
    let number = permit.record_number();
    assert_eq!(records.finish_not_run(permit, NOW), AttemptOutcome::NotRun);
    let permit = run(&mut records, &work("k", true));
    assert_eq!(permit.record_number(), number);
    assert_eq!(records.finish_unknown(permit, NOW), AttemptOutcome::Unknown);
}

/// Guards against a graceful stop that ends before the last ticket expires, accepts new work, or
/// withholds stored answers.
#[test]
fn graceful_stop() {
    let mut records = Records::new(RecordLimits::default());
    assert_eq!(records.last_expiry(), None);
    let permit = run(&mut records, &work("a", false));
    records.track_expiry(Duration::from_secs(12));
    records.stop(NOW);
    assert_eq!(records.last_expiry(), Some(Duration::from_secs(12)));
    assert_eq!(records.running(), 1);
    assert_eq!(
        records.finish_answered(permit, 7, 1, NOW),
        AttemptOutcome::Answered
    );
    assert_eq!((records.running(), records.answer_bytes()), (0, 1));
    assert_eq!(
        records.begin(&work("a", false), NOW),
        BeginResult::Answered(7)
    );
    assert_eq!(records.begin(&work("b", false), NOW), BeginResult::Stopping);
    records.remove_expired(Duration::from_mins(3));
    assert!(records.is_empty() && records.answer_bytes() == 0);
}

/// Guards against storing answers beyond the limit, and against a retry that runs because the
/// answer was not stored.
#[test]
fn oversized_answer_is_not_stored() {
    let mut records = Records::new(RecordLimits::default());
    let permit = run(&mut records, &work("a", false));
    assert_eq!(
        records.finish_answered(permit, 7, 65 << 20, NOW),
        AttemptOutcome::AnswerNotStored
    );
    assert_eq!(records.begin(&work("a", false), NOW), BeginResult::Unknown);
}
