//! Selection of backend servers.

use std::time::Duration;

use config::ServerId;
use routing::server::{LoadReport, Outcome, Selector, Settings, State, UsableSlots};

fn ids(n: usize) -> Vec<ServerId> {
    (0..n).map(|i| format!("s{i:02}").into()).collect()
}

fn selector(n: usize) -> Selector {
    let mut selector = Selector::new(Settings::default());
    selector.set_servers(ids(n));
    selector
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn all_free(_: &ServerId) -> UsableSlots {
    UsableSlots { total: 3, free: 3 }
}

/// Sends `count` requests to each of 12 servers from `start` on, where those in `slow` take 500 ms
/// instead of 50 ms, and returns the time of the end.
fn warm_up(selector: &mut Selector, start: Duration, count: u64, slow: &[ServerId]) -> Duration {
    for i in 0..count {
        let now = start + ms(20 * i);
        for id in ids(12) {
            let latency = if slow.contains(&id) { 500 } else { 50 };
            selector.started(now, &id);
            selector.finished(now, &id, ms(latency), Outcome::Answered);
        }
    }
    start + ms(20 * count)
}

fn choose(selector: &Selector, now: Duration, rng: &mut fastrand::Rng) -> Option<ServerId> {
    selector.choose(now, all_free, &[], true, rng)
}

/// Guards against requests to a busy server while another one is idle, or to a server without free
/// slots.
#[test]
fn least_loaded_server_is_chosen() {
    let selector = selector(3);
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..50 {
        let usable_slots = |id: &ServerId| UsableSlots {
            total: 3,
            free: if &**id == "s01" { 3 } else { 1 },
        };
        let chosen = selector.choose(ms(0), usable_slots, &[], true, &mut rng);
        assert_eq!(chosen.as_deref(), Some("s01"));
    }
    let full = |_: &ServerId| UsableSlots { total: 3, free: 0 };
    assert_eq!(selector.choose(ms(0), full, &[], true, &mut rng), None);
}

/// Guards against a slow server that still receives its usual share of requests, and against a
/// recovered server that stays suspended.
#[test]
fn slow_servers_get_single_trials_until_resumed() {
    let mut selector = selector(12);
    let mut rng = fastrand::Rng::with_seed(2);
    let slow = [ids(12)[3].clone(), ids(12)[7].clone()];
    let mut now = warm_up(&mut selector, ms(0), 30, &slow);
    assert!(slow.iter().all(|id| selector.is_suspended(id)));
    let mut to_slow = 0;
    for _ in 0..500 {
        now += ms(2);
        let id = choose(&selector, now, &mut rng).expect("a server is free");
        selector.started(now, &id);
        let latency = if slow.contains(&id) { 500 } else { 50 };
        to_slow += u32::from(slow.contains(&id));
        selector.finished(now, &id, ms(latency), Outcome::Answered);
    }
    assert!(to_slow <= 2, "{to_slow} requests to slow servers in 1 s");
    for _ in 0..6_000 {
        now += ms(2);
        let id = choose(&selector, now, &mut rng).expect("a server is free");
        selector.started(now, &id);
        selector.finished(now, &id, ms(50), Outcome::Answered);
    }
    assert!(slow.iter().all(|id| !selector.is_suspended(id)));
}

/// Guards against concurrent trial requests to a suspended server.
#[test]
fn one_trial_at_a_time() {
    let mut selector = selector(12);
    let mut rng = fastrand::Rng::with_seed(3);
    let slow = [ids(12)[0].clone()];
    // The requests of the warm-up count as slow trials, so the trial interval is at its maximum.
    let now = warm_up(&mut selector, ms(0), 30, &slow) + ms(4_000);
    let id = choose(&selector, now, &mut rng).expect("a server is free");
    assert_eq!(id, slow[0]);
    selector.started(now, &id);
    for later in [1, 1_500, 20_000] {
        let id = choose(&selector, now + ms(later), &mut rng);
        assert_ne!(id.as_ref(), Some(&slow[0]));
    }
    assert_eq!(selector.in_flight(&slow[0]), 1);
}

/// Guards against a slowdown or failure of all servers that leaves none to choose from.
#[test]
fn never_all_suspended() {
    let mut selector = selector(12);
    let mut rng = fastrand::Rng::with_seed(4);
    for i in 0..100 {
        for id in ids(12) {
            selector.started(ms(i), &id);
            selector.finished(ms(i), &id, ms(5), Outcome::Failed);
        }
    }
    let suspended = ids(12)
        .iter()
        .filter(|id| selector.is_suspended(id))
        .count();
    assert_eq!(suspended, 6);
    // Once the available half is leaving, suspended servers must be chosen.
    for id in ids(12) {
        if !selector.is_suspended(&id) {
            selector.set_state(&id, State::Leaving);
        }
    }
    assert!(choose(&selector, ms(200), &mut rng).is_some());
}

/// Guards against a server that refuses all requests immediately and so appears idle.
#[test]
fn fast_refusals_attract_no_work() {
    let mut selector = selector(12);
    let mut rng = fastrand::Rng::with_seed(8);
    let shedding = ids(12)[5].clone();
    let mut now = warm_up(&mut selector, ms(0), 30, &[]);
    for _ in 0..500 {
        now += ms(2);
        let id = choose(&selector, now, &mut rng).expect("a server is free");
        selector.started(now, &id);
        let outcome = if id == shedding {
            Outcome::Shed
        } else {
            Outcome::Answered
        };
        selector.finished(now, &id, ms(50), outcome);
    }
    let counts = selector.counts(&shedding);
    assert!((1..=5).contains(&counts.shed), "{counts:?}");
}

/// Guards against new requests to servers that are leaving or starting.
#[test]
fn only_ready_servers_get_work() {
    let mut selector = selector(3);
    let mut rng = fastrand::Rng::with_seed(5);
    selector.set_state(&ids(3)[0], State::Leaving);
    selector.set_state(&ids(3)[1], State::Starting);
    for _ in 0..50 {
        let chosen = choose(&selector, ms(0), &mut rng);
        assert_eq!(chosen.as_deref(), Some("s02"));
    }
    selector.set_state(&ids(3)[2], State::Leaving);
    assert_eq!(choose(&selector, ms(0), &mut rng), None);
}

/// Guards against a single slow response that suspends a healthy server.
#[test]
fn single_slow_response_does_not_suspend() {
    let mut selector = selector(12);
    let now = warm_up(&mut selector, ms(0), 30, &[]);
    let id = ids(12)[4].clone();
    selector.started(now, &id);
    selector.finished(now + ms(1_000), &id, ms(1_000), Outcome::Answered);
    warm_up(&mut selector, now + ms(1_000), 3, &[]);
    assert!(!selector.is_suspended(&id));
}

/// Guards against an old load report that outweighs this VM's own requests in flight, and against a
/// late report that replaces a newer one.
#[test]
fn load_reports_lose_weight_with_age() {
    let mut selector = selector(2);
    let mut rng = fastrand::Rng::with_seed(6);
    let busy = |measured_at| LoadReport {
        measured_at,
        busy: 3,
        slots: 3,
    };
    let none = LoadReport {
        measured_at: ms(0),
        busy: 0,
        slots: 3,
    };
    selector.set_report(&ids(2)[0], busy(ms(100)));
    selector.set_report(&ids(2)[0], none);
    let chosen = choose(&selector, ms(200), &mut rng);
    assert_eq!(chosen.as_deref(), Some("s01"));
    // After 2 s, this VM's own requests in flight outweigh the report.
    let usable_slots = |id: &ServerId| UsableSlots {
        total: 3,
        free: if &**id == "s01" { 2 } else { 3 },
    };
    let chosen = selector.choose(ms(2_100), usable_slots, &[], true, &mut rng);
    assert_eq!(chosen.as_deref(), Some("s00"));
}

/// Guards against a hedged attempt at the server of the first attempt while another one is free.
#[test]
fn avoided_servers_are_chosen_last() {
    let selector = selector(2);
    let mut rng = fastrand::Rng::with_seed(7);
    let avoid = [ids(2)[0].clone()];
    for _ in 0..20 {
        let chosen = selector.choose(ms(0), all_free, &avoid, false, &mut rng);
        assert_eq!(chosen.as_deref(), Some("s01"));
    }
    let only_first = |id: &ServerId| UsableSlots {
        total: 3,
        free: u32::from(&**id == "s00"),
    };
    let chosen = selector.choose(ms(0), only_first, &avoid, false, &mut rng);
    assert_eq!(chosen.as_deref(), Some("s00"));
}
