//! Drains change one entry of the rules and refuse unknown names.

mod common;

use common::example;
use config::{Target, drain, is_drained, undrain};

fn targets() -> [Target; 4] {
    [
        Target::Server("bid-desk-01".into()),
        Target::EntryVm("irbid-1-a".into()),
        Target::Domain("irbid-1".into()),
        Target::Region("irbid".into()),
    ]
}

/// Guards against drains that leave something behind or are lost.
#[test]
fn undrain_reverses_drain() {
    let original = example("al-sahl");
    let mut changed = original.clone();
    let (rules, inventory) = (&mut changed.rules, &original.inventory);
    for target in targets() {
        assert!(
            !undrain(rules, inventory, &target).expect("known"),
            "{target}"
        );
        assert!(drain(rules, inventory, &target).expect("known"), "{target}");
        assert!(
            !drain(rules, inventory, &target).expect("known"),
            "{target}"
        );
    }
    assert_ne!(*rules, original.rules);
    for target in targets() {
        assert!(
            undrain(rules, inventory, &target).expect("known"),
            "{target}"
        );
    }
    assert_eq!(*rules, original.rules);
}

/// Guards against a drained zone whose servers still count.
#[test]
fn a_drained_zone_drains_its_servers() {
    let original = example("al-sahl");
    for (target, expected) in targets().iter().zip([1, 0, 8, 16]) {
        let mut changed = original.clone();
        drain(&mut changed.rules, &original.inventory, target).expect("known");
        let drained = changed
            .inventory
            .servers
            .iter()
            .filter(|s| is_drained(&changed, s))
            .count();
        assert_eq!(drained, expected, "{target}");
        let slots: u64 = config::slots(&changed, "bid-desk").values().sum();
        assert_eq!(
            slots,
            36 - [3, 0, 6, 12][targets().iter().position(|t| t == target).unwrap()]
        );
    }
}

/// Guards against a misspelt name that silently drains nothing.
#[test]
fn unknown_names_are_refused_with_near_ones() {
    let mut configuration = example("al-sahl");
    for (target, near) in [
        (
            Target::Server("bid-dsek-01".into()),
            "server \"bid-dsek-01\" does not exist; use one of: bid-desk-01",
        ),
        (Target::EntryVm("irbid1-a".into()), "use one of: irbid-1-a"),
        (Target::Domain("krak-2".into()), "use one of: karak-2"),
        (Target::Region("ibrid".into()), "use one of: irbid"),
    ] {
        for edit in [drain, undrain] {
            let error = edit(&mut configuration.rules, &configuration.inventory, &target);
            let text = error.expect_err("must be refused").to_string();
            assert!(text.contains(near), "{text}");
        }
    }
}

/// Guards against a drain that cannot be removed once its machine has left the inventory.
#[test]
fn a_removed_machine_can_be_undrained() {
    let mut configuration = example("al-sahl");
    configuration.rules.drains.servers.push("old-server".into());
    let target = Target::Server("old-server".into());
    assert!(undrain(&mut configuration.rules, &configuration.inventory, &target).expect("listed"));
}
