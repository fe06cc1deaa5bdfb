//! Rate of traffic shifts between regions.

use std::time::Duration;

use crate::common::{answer, ms, pool, request, server};
use dispatch::{AdmissionRequest, Decision, PoolSettings, PoolSnapshot};

/// Largest change of a share within two seconds.
const LIMIT: f64 = 0.15;

/// Guards against shifting traffic between regions too fast (rule SHIFT): 36 of 100 requests of a
/// region changed their region within two seconds after callers had come back to it.
#[test]
fn load_changes_shift_shares_slowly() {
    let cfg = PoolSettings {
        max_shift: LIMIT,
        ..PoolSettings::default()
    };
    let mut pool = pool(&[server("a", 4)], cfg);
    let idle = PoolSnapshot {
        slots: 40,
        free: 20,
        ..PoolSnapshot::default()
    };
    // Time of each decision, and whether the request left the region.
    let mut decisions: Vec<(Duration, bool)> = Vec::new();
    let mut running: Vec<(Duration, u64)> = Vec::new();
    let mut number = 0;
    let mut now = Duration::ZERO;
    while now < ms(30_000) {
        // Low load, then more requests than the region has slots for, then low load.
        let busy = (ms(10_000)..ms(20_000)).contains(&now);
        now += if busy { ms(8) } else { ms(40) };
        running.retain(|(end, n)| {
            if *end <= now {
                answer(&mut pool, *n, ms(100), now);
            }
            *end > now
        });
        pool.update_remote("east".into(), idle, ms(100), now);
        number += 1;
        let request = AdmissionRequest {
            forward_regions: ["east".into()].into_iter().collect(),
            ..request(number)
        };
        pool.submit(request, now);
        for (id, decision) in pool.schedule(now) {
            match decision {
                Decision::Grant(_) => {
                    running.push((now + ms(100), id.1));
                    decisions.push((now, false));
                }
                Decision::Forward(_) => decisions.push((now, true)),
                Decision::Refuse { .. } => {}
            }
        }
    }
    assert!(
        decisions.iter().any(|(_, forwarded)| *forwarded),
        "no request was forwarded"
    );
    let share = |from: Duration| {
        let window: Vec<bool> = decisions
            .iter()
            .filter(|(at, _)| (from..from + ms(2000)).contains(at))
            .map(|(_, forwarded)| *forwarded)
            .collect();
        window.iter().filter(|forwarded| **forwarded).count() as f64 / window.len().max(1) as f64
    };
    for start in (8000..26_000).step_by(250) {
        let change = (share(ms(start + 2000)) - share(ms(start))).abs();
        // Queued requests are counted when they run, a little after they were first considered.
        assert!(change <= 0.15, "share changed by {change} from {start} ms");
    }
}
