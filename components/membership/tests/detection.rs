//! False alarms and detection times with heartbeat loss, in a seeded run.

mod simulation;

use membership::Liveness;

use simulation::{STEP, Simulation};

struct Figures {
    observed_hours: f64,
    false_suspicions: usize,
    false_deaths: usize,
    suspected_ms: Vec<u64>,
    dead_ms: Vec<u64>,
}

/// Observes all pairs for some minutes; in each of them one VM is killed for 20 s.
fn observe(vms: usize, minutes: u64, loss: f64, seed: u64) -> Figures {
    let mut sim = Simulation::new(vms, loss, seed);
    let mut known = vec![vec![Liveness::Alive; vms]; vms];
    let mut figures = Figures {
        observed_hours: 0.0,
        false_suspicions: 0,
        false_deaths: 0,
        suspected_ms: Vec::new(),
        dead_ms: Vec::new(),
    };
    let mut killed_at = vec![0; vms];
    for step in 0..minutes * 60_000 / STEP {
        sim.step();
        if step % (60_000 / STEP) == 30_000 / STEP {
            let victim = sim.rng.usize(0..vms);
            sim.kill(victim, 20_000);
            killed_at[victim] = sim.now;
        }
        for a in (0..vms).filter(|a| sim.now - sim.nodes[*a].started >= 10_000) {
            for b in (0..vms).filter(|b| *b != a && !sim.is_dead(a)) {
                let node = &sim.nodes[a];
                let state = node
                    .membership
                    .liveness_of(&sim.nodes[b].vm, sim.uptime(a))
                    .unwrap();
                let was = std::mem::replace(&mut known[a][b], state);
                let silence = sim.now - killed_at[b];
                let is_new = |level| state >= level && was < level;
                if sim.is_dead(b) {
                    figures
                        .suspected_ms
                        .extend(is_new(Liveness::Suspected).then_some(silence));
                    figures
                        .dead_ms
                        .extend(is_new(Liveness::Dead).then_some(silence));
                } else if sim.now - sim.nodes[b].started >= 10_000 {
                    figures.observed_hours += STEP as f64 / 3_600_000.0;
                    figures.false_suspicions += usize::from(is_new(Liveness::Suspected));
                    figures.false_deaths += usize::from(is_new(Liveness::Dead));
                }
            }
        }
    }
    figures.suspected_ms.sort_unstable();
    figures.dead_ms.sort_unstable();
    figures
}

/// Guards against peers that are not detected, or are declared dead while they run.
#[test]
fn false_alarms_and_detection_time() {
    for (vms, minutes) in [(2, 20), (12, 5), (44, 1)] {
        for loss in [0.0, 0.05, 0.2] {
            let f = observe(vms, minutes, loss, 1);
            let quantiles = |v: &[u64]| (v[0], v[v.len() / 2], v[v.len() - 1]);
            println!(
                "seed 1, {vms} VMs, loss {loss}: {:.2} pair hours, {} false suspicions, {} false \
                 deaths; {} detections, suspected after {:?} ms, dead after {:?} ms (min, median, \
                 max)",
                f.observed_hours,
                f.false_suspicions,
                f.false_deaths,
                f.dead_ms.len(),
                quantiles(&f.suspected_ms),
                quantiles(&f.dead_ms),
            );
            assert!(f.observed_hours > 0.0 && !f.dead_ms.is_empty());
            assert_eq!(f.false_deaths, 0);
            assert!(loss > 0.0 || f.false_suspicions == 0);
        }
    }
}
