//! Measures decisions: order of a look-up answer, split of requests among domains, shift limiter.

use std::io;
use std::time::Duration;

use fastrand::Rng;
use routing::Shares;
use routing::domain::{self, DomainView, Load, Steering};
use routing::entry_vm::{self, EntryVmView};
use routing::shift::ShiftLimiter;

use super::{CapacityReport, min_ns_per_call};

/// Numbers of entry VMs known to the one that answers a look-up.
const ENTRY_VM_COUNTS: [usize; 4] = [12, 60, 300, 600];
/// Numbers of failure domains.
const DOMAIN_COUNTS: [usize; 3] = [6, 14, 28];

/// Measures processor time per decision.
pub fn measure(report: &mut CapacityReport) -> io::Result<()> {
    let mut points = Vec::new();
    for n in ENTRY_VM_COUNTS {
        let ns = order_ns(n, report.seed);
        points.push((n as f64, ns));
        report.print_line(
            "look_up_order",
            &[("entry_vms", &n), ("ns_per_answer", &ns)],
        )?;
    }
    report.print_fit("look_up_order_ns_by_entry_vms", &points)?;
    let (mut updates, mut limits) = (Vec::new(), Vec::new());
    for n in DOMAIN_COUNTS {
        let (update, pick) = steering_ns(n);
        let limit = limiter_ns(n);
        updates.push((n as f64, update));
        limits.push((n as f64, limit));
        report.print_line(
            "steering",
            &[
                ("domains", &n),
                ("ns_per_update", &update),
                ("ns_per_pick", &pick),
                ("ns_per_limiter_step", &limit),
            ],
        )?;
    }
    report.print_fit("steering_update_ns_by_domains", &updates)?;
    report.print_fit("limiter_step_ns_by_domains", &limits)
}

fn domain_name(n: usize) -> Box<str> {
    format!("domain-{n}").into()
}

fn region_name(n: usize) -> Box<str> {
    format!("region-{}", n % 5).into()
}

fn order_ns(n: usize, seed: u64) -> f64 {
    let mut rng = Rng::with_seed(seed);
    let vms: Vec<_> = (0..n)
        .map(|i| EntryVmView {
            id: format!("entry-{i}").into(),
            domain: domain_name(i % 14),
            region: region_name(i % 14),
            state: entry_vm::State::Ready,
            free_slots: rng.u32(..100),
        })
        .collect();
    let settings = entry_vm::Settings::default();
    let (domain, region) = (domain_name(3), region_name(3));
    min_ns_per_call(2_000, |_| {
        entry_vm::order(&settings, &vms, &domain, &region, &mut rng)
    })
}

fn steering_ns(n: usize) -> (f64, f64) {
    let view = |i: usize| DomainView {
        id: domain_name(i),
        region: region_name(i),
        state: domain::State::Serving,
        slots: 1_000.0,
        free_slots: if i == 0 { 50.0 } else { 500.0 },
        measured_at: Duration::ZERO,
        delay: Duration::from_millis(50),
        link_bytes_per_second: 1e8,
    };
    let mut views: Vec<_> = (0..n).map(view).collect();
    let base = Shares::from([(domain_name(0), 1.0)]);
    let load = Load {
        slots: 1_000.0,
        bytes_per_second: 1e7,
    };
    let mut steering = Steering::new(domain::Settings::default());
    let mut now = Duration::ZERO;
    let update = min_ns_per_call(2_000, |_| {
        now += Duration::from_secs(3);
        for v in &mut views {
            v.measured_at = now;
        }
        steering
            .update(&base, &region_name(0), &views, load, now)
            .refused
    });
    let pick = min_ns_per_call(20_000, |i| {
        steering
            .split()
            .pick(i as f64 / 20_000.0, &[])
            .map(|d| d.len())
    });
    (update, pick)
}

fn limiter_ns(n: usize) -> f64 {
    let shares = |from: usize| -> Shares {
        (0..n)
            .map(|i| {
                (
                    domain_name((i + from) % n),
                    if i < n / 2 { 2.0 / n as f64 } else { 0.0 },
                )
            })
            .collect()
    };
    let targets = [shares(0), shares(n / 2)];
    let mut limiter = ShiftLimiter::new(shares(0), Duration::ZERO);
    let mut now = Duration::ZERO;
    min_ns_per_call(2_000, |i| {
        now += Duration::from_millis(500);
        limiter.advance(&targets[i / 100 % 2], 0.1, now).len()
    })
}
