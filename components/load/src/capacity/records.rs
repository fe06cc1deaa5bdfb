//! Binding execution records of the crate `binding`.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use binding::{AttemptOutcome, BeginResult, RecordLimits, Records, Work, WorkId};
use fastrand::Rng;

use super::{Report, memory};

/// Numbers of records held at once.
const SIZES: [usize; 3] = [25_000, 50_000, 100_000];
/// Bytes of an answer's body.
const ANSWER: usize = 200;

/// An answer as the daemon keeps it: shared bytes. Its status and headers are not in it.
type Answer = Arc<[u8]>;

/// Measures the resident growth per record, all of them answered. The records are returned so
/// that no later measurement takes memory that they have freed.
pub fn measure(r: &mut Report) -> io::Result<Vec<Records<Answer>>> {
    let mut points = Vec::new();
    let mut rng = Rng::with_seed(r.seed);
    let mut all = Vec::new();
    for n in SIZES {
        let before = memory::resident()?;
        let records = fill(n, &mut rng);
        let bytes = memory::resident()?.saturating_sub(before) as f64;
        all.push(records);
        points.push((n as f64, bytes));
        r.line(
            "binding_records",
            &[
                ("records", &n),
                ("answer_bytes", &ANSWER),
                ("resident_bytes", &bytes),
                ("bytes_per_record", &(bytes / n as f64)),
            ],
        )?;
    }
    r.fit("binding_record_bytes_by_records", &points)?;
    Ok(all)
}

fn fill(n: usize, rng: &mut Rng) -> Records<Answer> {
    let mut records = Records::new(RecordLimits::default());
    for _ in 0..n {
        let mut nonce = [0; 16];
        rng.fill(&mut nonce);
        let mut digest = [0; 32];
        rng.fill(&mut digest);
        let now = Duration::ZERO;
        let work = Work {
            id: WorkId::Ticket(nonce),
            digest,
            expires: Duration::from_secs(rng.u64(1..130)),
            deadline: Duration::from_secs(5),
            claimed: false,
        };
        let BeginResult::Run(permit) = records.begin(&work, now) else {
            unreachable!("nonces are drawn at random and the limits allow this many");
        };
        let body: Answer = vec![rng.u8(..); ANSWER].into();
        let ending = records.finish_answered(permit, body, ANSWER, now);
        assert_eq!(ending, AttemptOutcome::Answered);
    }
    records
}
