//! Where requests run: at servers that have their objects.

use std::time::Duration;

use dispatch::{Ask, PoolSettings};

use crate::common::{answer, ask, grant, ms, pool, server};
use crate::simulation::{Region, Simulation, run, shares};

/// Share of requests that has to find warm data: on the users' grown site the slots of the busiest
/// service carry one and a half times its usual demand from there on.
const FOUND_WARM: f64 = 0.85;
/// Seeds of each simulation.
const SEEDS: std::ops::Range<u64> = 0..2;

/// The busiest service of the users' grown site: regions of unequal size, whose servers keep nearly
/// as many objects as there are, and callers that move between regions.
fn catalogue() -> Simulation {
    Simulation {
        regions: vec![
            Region {
                servers: 6,
                rate: |t| match t {
                    8.0..18.0 => 350.0,
                    24.0..34.0 => 500.0,
                    _ => 200.0,
                },
            },
            Region {
                servers: 28,
                rate: |t| {
                    if (8.0..18.0).contains(&t) {
                        150.0
                    } else {
                        330.0
                    }
                },
            },
            Region {
                servers: 32,
                rate: |_| 300.0,
            },
        ],
        slots: 6,
        kept: 27,
        objects: 560,
        warm: Duration::from_millis(160),
        cold: Duration::from_millis(570),
        target: Duration::from_millis(500),
        deadline: Duration::from_secs(3),
        round_trip: Duration::from_millis(110),
        max_shift: 0.15,
        slowdown: 2.0,
        restart: None,
        seconds: 40,
    }
}

/// Shares of requests that found warm data in a period, over all seeds.
fn found_warm(cfg: &Simulation, seconds: std::ops::Range<u64>) -> f64 {
    let count = SEEDS.count() as f64;
    let warm = SEEDS.map(|seed| {
        let shares = shares(&run(cfg, seed), None, cfg.target, seconds.clone());
        println!(
            "seed={seed} warm={:.3} on_time={:.3} unserved={:.3} moved={:.3}",
            shares.warm, shares.on_time, shares.unserved, shares.moved
        );
        shares.warm
    });
    warm.sum::<f64>() / count
}

/// Guards against objects that are spread over many servers, each of which forgets them before
/// they come again: on the bench half of the requests of the busiest service found no warm data,
/// though the servers of each region could keep nearly all of its objects.
#[test]
fn objects_that_fit_are_found_warm() {
    let warm = found_warm(&catalogue(), 4..36);
    assert!(warm >= FOUND_WARM, "{warm}");
}

/// Guards against the same where a server keeps far fewer objects than was expected at first.
#[test]
fn the_objects_that_a_server_keeps_are_learned() {
    let archive = Simulation {
        regions: vec![
            Region {
                servers: 6,
                rate: |_| 40.0,
            },
            Region {
                servers: 20,
                rate: |_| 50.0,
            },
            Region {
                servers: 24,
                rate: |_| 45.0,
            },
        ],
        kept: 8,
        objects: 125,
        warm: Duration::from_millis(570),
        cold: Duration::from_millis(2200),
        target: Duration::from_millis(1500),
        deadline: Duration::from_secs(12),
        ..catalogue()
    };
    let warm = found_warm(&archive, 8..36);
    assert!(warm >= FOUND_WARM, "{warm}");
}

/// Guards against a new keeper that places objects at other servers than the former did: on the
/// bench it took over four seconds after all entry VMs had restarted until requests were on time
/// again, although the servers still had their data.
#[test]
fn a_new_keeper_finds_objects_where_they_are() {
    let cfg = Simulation {
        restart: Some(20),
        seconds: 26,
        ..catalogue()
    };
    let warm = found_warm(&cfg, 22..24);
    assert!(warm >= FOUND_WARM, "{warm}");
}

/// Guards against objects that lose their place when a keeper stops or another one comes back.
#[test]
fn a_handed_over_pool_keeps_objects_where_they_are() {
    let servers: Vec<_> = (0..20).map(|i| server(&format!("s{i}"), 4)).collect();
    let mut former = pool(&servers, PoolSettings::default());
    let request = |number, object| Ask {
        object: Some(object),
        ..ask(number)
    };
    let mut places = Vec::new();
    for object in 0..30u64 {
        // The first server of its order is not taken, so that the order alone does not find it.
        let mut probe = pool(&servers, PoolSettings::default());
        let first = grant(&mut probe, request(0, object), ms(0)).expect("a slot");
        let mut moved = request(object, object);
        moved.avoid = [first.server].into_iter().collect();
        places.push(grant(&mut former, moved, ms(0)).expect("a slot").server);
        answer(&mut former, object, ms(30), ms(30));
    }
    let mut next = pool(&servers, PoolSettings::default());
    for placement in former.placements() {
        next.adopt(placement, ms(100));
    }
    for (object, place) in (0u64..).zip(&places) {
        let number = 1000 + object;
        let found = grant(&mut next, request(number, object), ms(200)).expect("a slot");
        assert_eq!(found.server, *place);
        answer(&mut next, number, ms(10), ms(210));
    }
}
