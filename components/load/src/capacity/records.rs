//! Binding execution records, with the fields of design section 5.

use std::collections::HashMap;
use std::io;
use std::time::Duration;

use fastrand::Rng;

use super::{Report, memory};

/// Numbers of records held at once.
const SIZES: [usize; 3] = [25_000, 50_000, 100_000];
/// Bytes of an answer.
const ANSWER: usize = 200;

/// Stand-in with the same fields as an execution record.
struct Record {
    digest: [u8; 32],
    expiry: Duration,
    state: State,
}

enum State {
    Running,
    Answered(Answer),
}

struct Answer {
    status: u16,
    body: Box<[u8]>,
}

impl Record {
    fn new(rng: &mut Rng) -> Self {
        let body = vec![rng.u8(..); ANSWER].into_boxed_slice();
        let mut digest = [0; 32];
        rng.fill(&mut digest);
        let state = if rng.u8(..10) == 0 {
            State::Running
        } else {
            State::Answered(Answer { status: 200, body })
        };
        Record {
            digest,
            expiry: Duration::from_secs(rng.u64(..130)),
            state,
        }
    }

    /// Reads every field, so that none is optimised away.
    fn weigh(&self) -> usize {
        let answer = match &self.state {
            State::Running => 0,
            State::Answered(a) => usize::from(a.status) + a.body.len(),
        };
        usize::from(self.digest[0]) + self.expiry.subsec_millis() as usize + answer
    }
}

/// Records that are kept so that no later measurement takes memory that they have freed.
pub struct Records(Vec<HashMap<u128, Record>>);

impl Drop for Records {
    /// Reads the records, so that they are not optimised away.
    fn drop(&mut self) {
        let all = self.0.iter().flat_map(HashMap::values);
        std::hint::black_box(all.map(Record::weigh).sum::<usize>());
    }
}

/// Measures the resident growth per record; the map's capacity is reserved for each size.
pub fn measure(r: &mut Report) -> io::Result<Records> {
    let mut points = Vec::new();
    let mut rng = Rng::with_seed(r.seed);
    let mut all = Vec::new();
    for n in SIZES {
        let before = memory::resident()?;
        let mut records = HashMap::with_capacity(n);
        for _ in 0..n {
            records.insert(rng.u128(..), Record::new(&mut rng));
        }
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
    Ok(Records(all))
}
