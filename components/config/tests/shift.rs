//! Shift paths stay within their cap, whatever operators do.

mod common;

use common::{example, shares};
use config::shift::Error;
use config::{
    Configuration, Shares, Shift, ShiftReason, cap_per_minute, ease_shifts, moved_share, plan,
    rebase_shifts, share_at, shift_end_ms, shift_to,
};
use proptest::prelude::*;

const SERVICE: &str = "werkdienst";
const MINUTE_MS: u64 = 60_000;
const START_MS: u64 = 1_700_000_000_000;

/// Something an operator does to the service.
#[derive(Clone, Debug)]
enum Action {
    /// Shifts to the shares in proportion to these weights.
    Shift(Vec<u32>),
    /// Changes the cap of planned shifts.
    Cap(f64),
}

fn action() -> impl Strategy<Value = (u64, Action)> {
    let weights = prop::collection::vec(0_u32..5, 6);
    let weights = weights.prop_filter("a sum above 0", |w| w.iter().sum::<u32>() > 0);
    let action = prop_oneof![
        4 => weights.prop_map(Action::Shift),
        1 => (0.01..=0.3).prop_map(Action::Cap),
    ];
    (0..3 * MINUTE_MS, action)
}

fn act(configuration: &mut Configuration, action: &Action, now_ms: u64) {
    match action {
        Action::Shift(weights) => {
            let sum = f64::from(weights.iter().sum::<u32>());
            let domains = configuration.inventory.domains.iter().zip(weights);
            let to = domains
                .map(|(d, w)| (d.id.clone(), f64::from(*w) / sum))
                .collect();
            let shift = shift_to(configuration, SERVICE, &to, now_ms, ShiftReason::Planned);
            configuration
                .rules
                .shifts
                .insert(SERVICE.into(), shift.expect("valid shift"));
        }
        Action::Cap(cap) => {
            let before = configuration.clone();
            configuration.rules.shift_cap_per_minute = *cap;
            rebase_shifts(&before, &mut configuration.rules, now_ms);
        }
    }
}

fn now(configuration: &Configuration, now_ms: u64) -> Shares {
    config::shares(configuration, SERVICE, now_ms)
}

/// Appends the movement since the last point, so that movement there and back adds up.
fn record(
    points: &mut Vec<(u64, f64)>,
    last: &mut Shares,
    configuration: &Configuration,
    now_ms: u64,
) {
    let shares = now(configuration, now_ms);
    let sum: f64 = shares.values().sum();
    assert!((sum - 1.0).abs() < 1e-9, "shares add up to {sum}");
    assert!(
        shares.values().all(|s| (0.0..=1.0).contains(s)),
        "{shares:?}"
    );
    let total = points.last().map_or(0.0, |p| p.1) + moved_share(last, &shares);
    points.push((now_ms, total));
    *last = shares;
}

proptest! {
    /// Guards against any sequence of shifts, reversals and cap changes that moves more than the
    /// largest cap within a minute, or that loses a part of the traffic.
    #[test]
    fn no_minute_moves_more_than_the_cap(actions in prop::collection::vec(action(), 1..8)) {
        let mut configuration = example("notensatz");
        let mut cap = configuration.rules.shift_cap_per_minute;
        let mut last = now(&configuration, START_MS);
        let (mut points, mut now_ms) = (Vec::new(), START_MS);
        for (wait_ms, action) in &actions {
            for ms in (now_ms..now_ms + wait_ms).step_by(1_000) {
                record(&mut points, &mut last, &configuration, ms);
            }
            now_ms += wait_ms;
            record(&mut points, &mut last, &configuration, now_ms);
            act(&mut configuration, action, now_ms);
            record(&mut points, &mut last, &configuration, now_ms);
            cap = cap.max(configuration.rules.shift_cap_per_minute);
        }
        for ms in (now_ms..now_ms + 2 * MINUTE_MS).step_by(1_000) {
            record(&mut points, &mut last, &configuration, ms);
        }
        for (i, (start_ms, moved)) in points.iter().enumerate() {
            let window = points[i..].iter().take_while(|p| p.0 <= start_ms + MINUTE_MS);
            let end = window.last().expect("the point itself").1;
            prop_assert!(end - moved <= cap + 1e-9, "{} moved from {start_ms}", end - moved);
        }
        prop_assert!(config::check(&configuration).iter().all(|f| !f.is_error()));
    }

    /// Guards against paths that never arrive, and against a wrong time of arrival.
    #[test]
    fn shifts_arrive_at_the_stated_time(
        cap in 0.001..=1.0_f64,
        a in 0.0..=1.0_f64,
        b in 0.0..=1.0_f64,
    ) {
        let from = shares(&[("x", a), ("y", 1.0 - a)]);
        let to = shares(&[("x", b), ("z", 1.0 - b)]);
        let shift = Shift { from, to, start_ms: START_MS, reason: ShiftReason::Planned };
        let end_ms = shift_end_ms(&shift, cap).expect("a cap above 0");
        prop_assert!(moved_share(&share_at(&shift, cap, end_ms), &shift.to) < 1e-9);
        prop_assert_eq!(share_at(&shift, cap, end_ms + 1), shift.to.clone());
        let early = share_at(&shift, cap, START_MS.midpoint(end_ms));
        let half = moved_share(&shift.from, &shift.to) / 2.0;
        prop_assert!((moved_share(&shift.from, &early) - half).abs() < cap / 60.0 / 500.0);
    }
}

/// Guards against a cap that is no number or outside its limits moving everything at once.
#[test]
fn invalid_caps_and_early_times_move_nothing() {
    let (from, to) = (shares(&[("a", 1.0)]), shares(&[("b", 1.0)]));
    let shift = Shift {
        from,
        to,
        start_ms: START_MS,
        reason: ShiftReason::Failover,
    };
    let before = share_at(&shift, 1.0, START_MS);
    for (cap, ms) in [
        (f64::NAN, START_MS + 1),
        (-1.0, START_MS + 1),
        (0.0, u64::MAX),
        (1.0, 0),
    ] {
        assert_eq!(share_at(&shift, cap, ms), before, "{cap} {ms}");
    }
    assert_eq!(shift_end_ms(&shift, 0.0), None);
    assert_eq!(shift_end_ms(&shift, 5.0), Some(START_MS + MINUTE_MS));
    assert_eq!(
        share_at(&shift, 1.0, u64::MAX)["b"].to_bits(),
        1.0_f64.to_bits()
    );
}

/// Guards against shifts to places that cannot take the traffic.
#[test]
fn impossible_shifts_are_refused() {
    let configuration = example("al-sahl");
    let try_shift = |service: &str, to: &[(&str, f64)]| {
        shift_to(
            &configuration,
            service,
            &shares(to),
            0,
            ShiftReason::Planned,
        )
        .expect_err("must be refused")
        .to_string()
    };
    let text = try_shift("bid-dekk", &[("irbid-1", 1.0)]);
    assert!(
        text.contains("\"bid-dekk\" does not exist; use one of: bid-desk"),
        "{text}"
    );
    let text = try_shift("bid-desk", &[("irbid", 1.0)]);
    assert!(
        text.contains("no servers of the service; use one of: irbid-1"),
        "{text}"
    );
    for to in [
        &[("irbid-1", 0.5)][..],
        &[],
        &[("irbid-1", 1.5), ("irbid-2", -0.5)],
    ] {
        assert!(try_shift("bid-desk", to).contains("with a sum of 1"));
    }
    let nan = shift_to(
        &configuration,
        "bid-desk",
        &shares(&[("irbid-1", f64::NAN)]),
        0,
        ShiftReason::Planned,
    );
    assert!(matches!(
        nan.unwrap_err().current_context(),
        Error::Shares { .. }
    ));
}

/// Guards against a change of slots that moves more than the cap at once, and against an eased one
/// that still does. Al-Sahl moves 5 % a minute, and one of two servers of a domain is 7.6 %.
#[test]
fn a_steep_change_of_slots_is_eased_into_a_shift() {
    let before = example("al-sahl");
    let mut after = before.clone();
    after.rules.drains.servers.push("bid-desk-01".into());
    let steep = plan(&before, &after, START_MS);
    let names: Vec<_> = steep.services.iter().filter(|s| s.passes_cap()).collect();
    assert_eq!(names.len(), 1);
    assert!(
        (names[0].step - (1.0 / 6.0 - 1.0 / 11.0)).abs() < 1e-9,
        "{}",
        names[0].step
    );

    assert_eq!(
        ease_shifts(&before, &mut after, START_MS),
        ["bid-desk".into()]
    );
    assert!(!plan(&before, &after, START_MS).passes_cap());
    assert_eq!(config::check(&after), []);
    let cap = cap_per_minute(&after.rules, ShiftReason::Planned);
    let end_ms = shift_end_ms(&after.rules.shifts["bid-desk"], cap).expect("arrives");
    let end = config::shares(&after, "bid-desk", end_ms);
    assert_eq!(end, config::slot_shares(&after, "bid-desk"));
    assert_eq!(ease_shifts(&after.clone(), &mut after, START_MS), []);
}
