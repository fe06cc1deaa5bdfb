//! Drains change one entry of the rules and reject unknown names.

mod common;

use common::example;
use config::{Resource, drain, is_drained, undrain};

fn resources() -> [Resource; 4] {
    [
        Resource::Server("bid-desk-01".into()),
        Resource::EntryVm("irbid-1-a".into()),
        Resource::Domain("irbid-1".into()),
        Resource::Region("irbid".into()),
    ]
}

/// Guards against a drain that is not recorded, and against entries that remain after its end.
#[test]
fn undrain_reverses_drain() {
    let original = example("al-sahl");
    let mut changed = original.clone();
    let (rules, inventory) = (&mut changed.rules, &original.inventory);
    for resource in resources() {
        assert!(
            !undrain(rules, inventory, &resource).expect("known"),
            "{resource}"
        );
        assert!(
            drain(rules, inventory, &resource).expect("known"),
            "{resource}"
        );
        assert!(
            !drain(rules, inventory, &resource).expect("known"),
            "{resource}"
        );
    }
    assert_ne!(*rules, original.rules);
    for resource in resources() {
        assert!(
            undrain(rules, inventory, &resource).expect("known"),
            "{resource}"
        );
    }
    assert_eq!(*rules, original.rules);
}

/// Guards against servers of a drained failure domain or region that are still treated as in use.
#[test]
fn drained_domains_and_regions_drain_their_servers() {
    let original = example("al-sahl");
    for (resource, expected) in resources().iter().zip([1, 0, 8, 16]) {
        let mut changed = original.clone();
        drain(&mut changed.rules, &original.inventory, resource).expect("known");
        let drained = changed
            .inventory
            .servers
            .iter()
            .filter(|s| is_drained(&changed, s))
            .count();
        assert_eq!(drained, expected, "{resource}");
        let slots: u64 = config::slots(&changed, "bid-desk").values().sum();
        assert_eq!(
            slots,
            36 - [3, 0, 6, 12][resources().iter().position(|r| r == resource).unwrap()]
        );
    }
}

/// Guards against a misspelt name that drains nothing without an error.
#[test]
fn unknown_names_are_rejected_with_suggestions() {
    let mut configuration = example("al-sahl");
    for (resource, suggestion) in [
        (
            Resource::Server("bid-dsek-01".into()),
            "server \"bid-dsek-01\" does not exist; use one of: bid-desk-01",
        ),
        (
            Resource::EntryVm("irbid1-a".into()),
            "use one of: irbid-1-a",
        ),
        (Resource::Domain("krak-2".into()), "use one of: karak-2"),
        (Resource::Region("ibrid".into()), "use one of: irbid"),
    ] {
        for edit in [drain, undrain] {
            let error = edit(
                &mut configuration.rules,
                &configuration.inventory,
                &resource,
            );
            let text = error.expect_err("must be refused").to_string();
            assert!(text.contains(suggestion), "{text}");
        }
    }
}

/// Guards against a drain that cannot be ended after its machine was removed from the inventory.
#[test]
fn removed_machines_can_be_undrained() {
    let mut configuration = example("al-sahl");
    configuration.rules.drains.servers.push("old-server".into());
    let resource = Resource::Server("old-server".into());
    assert!(
        undrain(
            &mut configuration.rules,
            &configuration.inventory,
            &resource
        )
        .expect("listed")
    );
}
