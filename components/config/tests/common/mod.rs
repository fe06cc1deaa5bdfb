//! Fixtures that are read from the example files.
#![allow(dead_code, reason = "each test file uses some of them")]

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use config::{Configuration, Shares, Source};

pub fn text(deployment: &str, file: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    fs::read_to_string(root.join(deployment).join(file)).expect("example file")
}

pub fn example(deployment: &str) -> Configuration {
    let (inventory, rules) = (
        text(deployment, "inventory.json"),
        text(deployment, "rules.json"),
    );
    let (configuration, diagnostics) = config::read_configuration(
        Source {
            name: "inventory.json",
            text: &inventory,
        },
        Source {
            name: "rules.json",
            text: &rules,
        },
    );
    assert_eq!(diagnostics, [], "{deployment}");
    configuration.expect("valid example")
}

pub fn shares(list: &[(&str, f64)]) -> Shares {
    list.iter()
        .map(|(d, s)| ((*d).into(), *s))
        .collect::<BTreeMap<_, _>>()
}
