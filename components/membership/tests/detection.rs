//! False positives and detection times of failure detection under heartbeat loss, in seeded runs.

mod simulation;

use membership::Liveness;

use simulation::{STEP_MS, Simulation};

struct DetectionStats {
    observed_hours: f64,
    false_suspicions: usize,
    false_deaths: usize,
    suspected_ms: Vec<u64>,
    dead_ms: Vec<u64>,
}

/// Observes all pairs of VMs for `minutes`; in each minute one VM is killed for 20 s.
fn observe(vms: usize, minutes: u64, loss: f64, seed: u64) -> DetectionStats {
    let mut sim = Simulation::new(vms, loss, seed);
    let mut liveness = vec![vec![Liveness::Alive; vms]; vms];
    let mut stats = DetectionStats {
        observed_hours: 0.0,
        false_suspicions: 0,
        false_deaths: 0,
        suspected_ms: Vec::new(),
        dead_ms: Vec::new(),
    };
    let mut killed_at = vec![0; vms];
    for step in 0..minutes * 60_000 / STEP_MS {
        sim.step();
        if step % (60_000 / STEP_MS) == 30_000 / STEP_MS {
            let victim = sim.rng.usize(0..vms);
            sim.kill(victim, 20_000);
            killed_at[victim] = sim.now;
        }
        for a in (0..vms).filter(|a| sim.now - sim.nodes[*a].started >= 10_000) {
            for b in (0..vms).filter(|b| *b != a && !sim.is_dead(a)) {
                let node = &sim.nodes[a];
                let current = node
                    .membership
                    .liveness_of(&sim.nodes[b].vm, sim.uptime(a))
                    .unwrap();
                let previous = std::mem::replace(&mut liveness[a][b], current);
                let silence = sim.now - killed_at[b];
                let is_new = |level| current >= level && previous < level;
                if sim.is_dead(b) {
                    stats
                        .suspected_ms
                        .extend(is_new(Liveness::Suspected).then_some(silence));
                    stats
                        .dead_ms
                        .extend(is_new(Liveness::Dead).then_some(silence));
                } else if sim.now - sim.nodes[b].started >= 10_000 {
                    stats.observed_hours += STEP_MS as f64 / 3_600_000.0;
                    stats.false_suspicions += usize::from(is_new(Liveness::Suspected));
                    stats.false_deaths += usize::from(is_new(Liveness::Dead));
                }
            }
        }
    }
    stats.suspected_ms.sort_unstable();
    stats.dead_ms.sort_unstable();
    stats
}

/// Guards against dead peers that are not detected, and running peers that are declared dead.
#[test]
fn dead_peers_are_detected_and_running_ones_are_not() {
    for (vms, minutes) in [(2, 20), (12, 5), (44, 1)] {
        for loss in [0.0, 0.05, 0.2] {
            let stats = observe(vms, minutes, loss, 1);
            let quantiles = |v: &[u64]| (v[0], v[v.len() / 2], v[v.len() - 1]);
            println!(
                "seed 1, {vms} VMs, loss {loss}: {:.2} pair hours, {} false suspicions, {} false \
                 deaths; {} detections, suspected after {:?} ms, dead after {:?} ms (min, median, \
                 max)",
                stats.observed_hours,
                stats.false_suspicions,
                stats.false_deaths,
                stats.dead_ms.len(),
                quantiles(&stats.suspected_ms),
                quantiles(&stats.dead_ms),
            );
            assert!(stats.observed_hours > 0.0 && !stats.dead_ms.is_empty());
            assert_eq!(stats.false_deaths, 0);
            assert!(loss > 0.0 || stats.false_suspicions == 0);
        }
    }
}
