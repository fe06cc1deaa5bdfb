//! Rules of the execution records that the random runs do not reach.

use std::time::Duration;

use binding::{Begin, Ending, Permit, RecordLimits, Records, Work, WorkId};

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

fn run(records: &mut Records<u8>, work: &Work) -> Permit {
    match records.begin(work, NOW) {
        Begin::Run(permit) => permit,
        other => panic!("expected a permit, got {other:?}"),
    }
}

/// Guards against work that ran, was forgotten and runs again because its claim is still held,
/// and against a retry after "not run" that loses its own claim.
#[test]
fn claimed_keys() {
    let mut records = Records::new(RecordLimits::default());
    assert_eq!(records.begin(&work("k", true), NOW), Begin::Unknown);
    let permit = run(&mut records, &work("k", false));
    let number = permit.record();
    assert_eq!(records.not_run(permit, NOW), Ending::NotRun);
    let permit = run(&mut records, &work("k", true));
    assert_eq!(permit.record(), number);
    assert_eq!(records.unknown(permit, NOW), Ending::Unknown);
}

/// Guards against a graceful stop that ends before the last ticket expired, takes new work, or
/// withholds recorded answers.
#[test]
fn graceful_stop() {
    let mut records = Records::new(RecordLimits::default());
    assert_eq!(records.last_expiry(), None);
    let permit = run(&mut records, &work("a", false));
    records.note_expiry(Duration::from_secs(12));
    records.stop(NOW);
    assert_eq!(records.last_expiry(), Some(Duration::from_secs(12)));
    assert_eq!(records.running(), 1);
    assert_eq!(records.answered(permit, 7, 1, NOW), Ending::Answered);
    assert_eq!((records.running(), records.answer_bytes()), (0, 1));
    assert_eq!(records.begin(&work("a", false), NOW), Begin::Answered(7));
    assert_eq!(records.begin(&work("b", false), NOW), Begin::Stopping);
    records.drop_old(Duration::from_mins(3));
    assert!(records.is_empty() && records.answer_bytes() == 0);
}

/// Guards against answers beyond the limit, and against a retry that runs because the answer was
/// not kept.
#[test]
fn answer_that_is_too_large() {
    let mut records = Records::new(RecordLimits::default());
    let permit = run(&mut records, &work("a", false));
    assert_eq!(
        records.answered(permit, 7, 65 << 20, NOW),
        Ending::AnswerNotKept
    );
    assert_eq!(records.begin(&work("a", false), NOW), Begin::Unknown);
}
