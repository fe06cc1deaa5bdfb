//! Shifts stay within their cap for any sequence of operator actions.

mod common;

use common::{example, shares};
use config::shift::Error;
use config::{
    Configuration, Shares, Shift, ShiftReason, add_capped_shifts, cap_per_minute, moved_share,
    plan, rebase_shifts, share_at, shift_end_ms, shift_to,
};
use proptest::prelude::*;

const SERVICE: &str = "werkdienst";
const MINUTE_MS: u64 = 60_000;
const START_MS: u64 = 1_700_000_000_000;

/// An operator action on the service.
#[derive(Clone, Debug)]
enum Action {
    /// Shifts to shares in proportion to these weights.
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

fn apply(configuration: &mut Configuration, action: &Action, now_ms: u64) {
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

fn shares_at(configuration: &Configuration, now_ms: u64) -> Shares {
    config::shares(configuration, SERVICE, now_ms)
}

/// Appends the total movement until now; movement there and back adds up.
fn record(
    points: &mut Vec<(u64, f64)>,
    last: &mut Shares,
    configuration: &Configuration,
    now_ms: u64,
) {
    let shares = shares_at(configuration, now_ms);
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
    /// Guards against sequences of shifts, reversals and cap changes that move more than the
    /// largest cap within a minute, or whose shares do not add up to 1.
    #[test]
    fn moved_share_per_minute_stays_within_cap(actions in prop::collection::vec(action(), 1..8)) {
        let mut configuration = example("notensatz");
        let mut cap = configuration.rules.shift_cap_per_minute;
        let mut last = shares_at(&configuration, START_MS);
        let (mut points, mut now_ms) = (Vec::new(), START_MS);
        for (wait_ms, action) in &actions {
            for ms in (now_ms..now_ms + wait_ms).step_by(1_000) {
                record(&mut points, &mut last, &configuration, ms);
            }
            now_ms += wait_ms;
            record(&mut points, &mut last, &configuration, now_ms);
            apply(&mut configuration, action, now_ms);
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
        prop_assert!(config::check(&configuration).iter().all(|d| !d.is_error()));
    }

    /// Guards against shifts that never complete, and against a wrong completion time.
    #[test]
    fn shifts_complete_at_computed_time(
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

/// Guards against a cap that is NaN or out of range and moves all traffic at once.
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

/// Guards against shifts to unknown services, to failure domains without servers, and to invalid
/// shares.
#[test]
fn invalid_shifts_are_rejected() {
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

/// Guards against a change of slots that moves more than the cap at once, with and without the
/// added shift. The cap of al-sahl is 5 % per minute; draining one of a failure domain's two
/// servers moves 7.6 %.
#[test]
fn slot_changes_over_cap_become_shifts() {
    let before = example("al-sahl");
    let mut after = before.clone();
    after.rules.drains.servers.push("bid-desk-01".into());
    let over_cap = plan(&before, &after, START_MS);
    let names: Vec<_> = over_cap
        .services
        .iter()
        .filter(|s| s.exceeds_cap())
        .collect();
    assert_eq!(names.len(), 1);
    assert!(
        (names[0].moved_at_once - (1.0 / 6.0 - 1.0 / 11.0)).abs() < 1e-9,
        "{}",
        names[0].moved_at_once
    );

    assert_eq!(
        add_capped_shifts(&before, &mut after, START_MS),
        ["bid-desk".into()]
    );
    assert!(!plan(&before, &after, START_MS).exceeds_cap());
    assert_eq!(config::check(&after), []);
    let cap = cap_per_minute(&after.rules, ShiftReason::Planned);
    let end_ms = shift_end_ms(&after.rules.shifts["bid-desk"], cap).expect("cap above 0");
    let end = config::shares(&after, "bid-desk", end_ms);
    assert_eq!(end, config::slot_shares(&after, "bid-desk"));
    assert_eq!(add_capped_shifts(&after.clone(), &mut after, START_MS), []);
}
