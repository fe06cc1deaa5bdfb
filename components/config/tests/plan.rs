//! Plans list the effects of a change and detect changes that exceed a cap.

mod common;

use common::{example, shares};
use config::{
    Configuration, Resource, ServicePlan, ShiftReason, drain, plan, rebase_shifts, shift_to,
};

const NOW_MS: u64 = 1_700_000_000_000;
const MINUTE_MS: u64 = 60_000;

fn service<'a>(plan: &'a config::Plan, name: &str) -> &'a ServicePlan {
    plan.services
        .iter()
        .find(|s| &*s.service == name)
        .expect("service")
}

/// A configuration with a shift of werkdienst to donau-1 that started at `NOW_MS`.
fn shifting() -> Configuration {
    let mut configuration = example("notensatz");
    shift(&mut configuration, "donau-1", NOW_MS);
    configuration
}

fn shift(configuration: &mut Configuration, to: &str, now_ms: u64) {
    let to = shares(&[(to, 1.0)]);
    let shift = shift_to(
        configuration,
        "werkdienst",
        &to,
        now_ms,
        ShiftReason::Planned,
    );
    configuration
        .rules
        .shifts
        .insert("werkdienst".into(), shift.expect("valid shift"));
}

/// Guards against plans that miss a machine, a drain or a share.
#[test]
fn plan_lists_every_difference() {
    let before = example("notensatz");
    let mut after = before.clone();
    let mut added = after.inventory.servers[0].clone();
    added.id = "werkdienst-13".into();
    added.address.set_port(18_499);
    added.slots = 2;
    after.inventory.servers.push(added);
    after
        .inventory
        .servers
        .retain(|s| &*s.id != "werkdienst-03");
    after.inventory.entry_vms[0].caller_address.set_port(18_198);
    let server = Resource::Server("fahnendienst-01".into());
    assert!(drain(&mut after.rules, &after.inventory, &server).expect("known"));

    let plan = plan(&before, &after, NOW_MS);
    assert_eq!(plan.added, [Resource::Server("werkdienst-13".into())]);
    assert_eq!(plan.removed, [Resource::Server("werkdienst-03".into())]);
    assert_eq!(plan.changed, [Resource::EntryVm("donau-1-a".into())]);
    assert_eq!((&*plan.drained, &*plan.undrained), (&[server][..], &[][..]));

    let werkdienst = service(&plan, "werkdienst");
    let domain = |name: &str| {
        let found = werkdienst
            .domains
            .iter()
            .find(|d| &*d.domain == name)
            .expect("domain");
        (
            found.slots_before,
            found.slots_after,
            (found.share_after * 35.0).round() as u64,
        )
    };
    assert_eq!(domain("donau-1"), (6, 8, 8));
    assert_eq!(domain("donau-2"), (6, 3, 3));
    assert_eq!(domain("alpen-1"), (6, 6, 6));
    assert!(
        (service(&plan, "fahnendienst").moved_at_once - (8.0 / 48.0 - 4.0 / 44.0)).abs() < 1e-9
    );
    let text = plan.to_string();
    for part in [
        "added: server \"werkdienst-13\"",
        "drain starts: server",
        "service werkdienst",
    ] {
        assert!(text.contains(part), "{part} in {text}");
    }
}

/// Guards against undetected jumps of the traffic, and against false alarms for changes within the
/// cap.
#[test]
fn exceeded_caps_are_detected() {
    let before = shifting();
    let at_ms = NOW_MS + 3 * MINUTE_MS;

    let mut reversed = before.clone();
    shift(&mut reversed, "alpen-1", at_ms);
    let found = plan(&before, &reversed, at_ms);
    let werkdienst = service(&found, "werkdienst");
    assert!(!found.exceeds_cap(), "{werkdienst:?}");
    assert!(
        (werkdienst.max_moved_in_minute - 0.1).abs() < 1e-9,
        "{werkdienst:?}"
    );

    let mut removed = before.clone();
    removed.rules.shifts.clear();
    assert!(
        plan(&before, &removed, at_ms).exceeds_cap(),
        "a removed shift jumps back"
    );

    // The change alone is within the cap, but not together with the shift in progress.
    let mut restarted = before.clone();
    let shift = restarted.rules.shifts.get_mut("werkdienst").expect("shift");
    shift.start_ms -= MINUTE_MS / 2;
    let found = plan(&before, &restarted, at_ms);
    assert!(service(&found, "werkdienst").moved_at_once < 0.1 && found.exceeds_cap());

    // The shift is removed within its first minute: the traffic moves there and back, and only a
    // window that includes the time before the change exceeds the cap.
    let mut returned = before.clone();
    returned.rules.shifts.clear();
    let found = plan(&before, &returned, NOW_MS + 50_000);
    assert!(service(&found, "werkdienst").moved_in_next_minute < 0.1 && found.exceeds_cap());

    // A change must respect the new cap, even if the old cap was larger.
    let mut large_cap = example("notensatz");
    large_cap.rules.shift_cap_per_minute = 1.0;
    let mut small_cap = example("notensatz");
    small_cap.rules.drains.domains.push("alpen-1".into());
    assert!(plan(&large_cap, &small_cap, NOW_MS).exceeds_cap());

    let mut region = before.clone();
    region.rules.drains.domains.push("alpen-1".into());
    let found = plan(&before, &region, at_ms);
    assert!(
        !service(&found, "werkdienst").exceeds_cap(),
        "a shift ignores slots"
    );
    assert!(service(&found, "bestelldienst").exceeds_cap());
    assert!(found.to_string().contains("EXCEEDS ITS CAP"));
}

/// Guards against a changed cap that recomputes the shares of a shift in progress from its start.
#[test]
fn changed_cap_continues_from_shares_in_force() {
    let before = shifting();
    for (cap, minutes) in [(0.3, 2), (0.05, 2), (0.05, 10)] {
        let at_ms = NOW_MS + minutes * MINUTE_MS;
        let mut after = before.clone();
        after.rules.shift_cap_per_minute = cap;
        assert!(
            plan(&before, &after, at_ms).exceeds_cap(),
            "{cap} after {minutes} min"
        );
        rebase_shifts(&before, &mut after.rules, at_ms);
        let found = plan(&before, &after, at_ms);
        let werkdienst = service(&found, "werkdienst");
        assert!(
            werkdienst.moved_at_once < 1e-9 && !found.exceeds_cap(),
            "{werkdienst:?}"
        );
    }
}

/// Guards against false alarms for a service that is added or removed and has no traffic to move.
#[test]
fn added_or_removed_service_moves_nothing() {
    let after = example("al-sahl");
    let mut before = after.clone();
    before.inventory.services.retain(|s| &*s.id != "price-book");
    before
        .inventory
        .servers
        .retain(|s| &*s.service != "price-book");
    for (a, b) in [(&before, &after), (&after, &before)] {
        let found = plan(a, b, NOW_MS);
        assert!(!found.exceeds_cap());
        assert!(service(&found, "price-book").moved_at_once.abs() < 1e-9);
    }
}
