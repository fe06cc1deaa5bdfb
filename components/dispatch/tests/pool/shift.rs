//! How fast requests move between regions.

use std::time::Duration;

use crate::common::{answer, ask, ms, pool, server};
use dispatch::{Ask, Decision, PoolSettings, Snapshot};

/// Largest change of a share within two seconds.
const LIMIT: f64 = 0.15;

/// Guards against SHIFT: on the bench, 36 in 100 requests of a region changed their region within
/// two seconds after callers had come back to it.
#[test]
fn a_rise_and_a_drop_of_requests_move_shares_slowly() {
    let cfg = PoolSettings {
        max_shift: LIMIT,
        ..PoolSettings::default()
    };
    let mut pool = pool(&[server("a", 4)], cfg);
    let idle = Snapshot {
        slots: 40,
        free: 20,
        ..Snapshot::default()
    };
    // Moments and whether the request left the region.
    let mut runs: Vec<(Duration, bool)> = Vec::new();
    let mut running: Vec<(Duration, u64)> = Vec::new();
    let mut number = 0;
    let mut now = Duration::ZERO;
    while now < ms(30_000) {
        // Few requests, then more than the region has slots for, then few.
        let busy = (ms(10_000)..ms(20_000)).contains(&now);
        now += if busy { ms(8) } else { ms(40) };
        running.retain(|(end, n)| {
            if *end <= now {
                answer(&mut pool, *n, ms(100), now);
            }
            *end > now
        });
        pool.note_remote("east".into(), idle, ms(100), now);
        number += 1;
        let request = Ask {
            regions: ["east".into()].into_iter().collect(),
            ..ask(number)
        };
        pool.ask(request, now);
        for (id, decision) in pool.schedule(now) {
            match decision {
                Decision::Grant(_) => {
                    running.push((now + ms(100), id.1));
                    runs.push((now, false));
                }
                Decision::Forward(_) => runs.push((now, true)),
                Decision::Refuse { .. } => {}
            }
        }
    }
    assert!(runs.iter().any(|(_, left)| *left), "nothing was passed on");
    let share = |from: Duration| {
        let window: Vec<bool> = runs
            .iter()
            .filter(|(at, _)| (from..from + ms(2000)).contains(at))
            .map(|(_, left)| *left)
            .collect();
        window.iter().filter(|left| **left).count() as f64 / window.len().max(1) as f64
    };
    for start in (8000..26_000).step_by(250) {
        let change = (share(ms(start + 2000)) - share(ms(start))).abs();
        // Requests that wait are counted when they run, a little after they were weighed.
        assert!(change <= 0.15, "share changed by {change} from {start} ms");
    }
}
