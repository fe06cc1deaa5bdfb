//! Measures the memory of the execution records of binding requests.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use binding::{AttemptOutcome, BeginResult, RecordLimits, Records, Work, WorkId};
use fastrand::Rng;

use super::{CapacityReport, memory};

/// Numbers of records in memory at once.
const SIZES: [usize; 3] = [25_000, 50_000, 100_000];
/// Bytes of a response body.
const RESPONSE_BYTES: usize = 200;

/// A response body in shared memory, as the daemon keeps it; status and headers are left out.
type Response = Arc<[u8]>;

/// Measures the growth of resident memory per record with a response.
///
/// The records are returned, so that no later measurement reuses their memory.
pub fn measure(report: &mut CapacityReport) -> io::Result<Vec<Records<Response>>> {
    let mut points = Vec::new();
    let mut rng = Rng::with_seed(report.seed);
    let mut all = Vec::new();
    for n in SIZES {
        let before = memory::resident()?;
        let records = fill_records(n, &mut rng);
        let bytes = memory::resident()?.saturating_sub(before) as f64;
        all.push(records);
        points.push((n as f64, bytes));
        report.print_line(
            "binding_records",
            &[
                ("records", &n),
                ("answer_bytes", &RESPONSE_BYTES),
                ("resident_bytes", &bytes),
                ("bytes_per_record", &(bytes / n as f64)),
            ],
        )?;
    }
    report.print_fit("binding_record_bytes_by_records", &points)?;
    Ok(all)
}

fn fill_records(n: usize, rng: &mut Rng) -> Records<Response> {
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
            unreachable!("the nonces are random and the record limits allow this many");
        };
        let body: Response = vec![rng.u8(..); RESPONSE_BYTES].into();
        let outcome = records.finish_answered(permit, body, RESPONSE_BYTES, now);
        assert_eq!(outcome, AttemptOutcome::Answered);
    }
    records
}
