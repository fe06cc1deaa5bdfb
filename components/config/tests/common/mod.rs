//! Configurations for tests, read from the example files.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use config::{Configuration, Shares, Source};

/// Content of an example file.
pub fn text(deployment: &str, file: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    fs::read_to_string(root.join(deployment).join(file)).expect("example file")
}

/// Configuration of an example deployment.
pub fn example(deployment: &str) -> Configuration {
    let (inventory, rules) = (
        text(deployment, "inventory.json"),
        text(deployment, "rules.json"),
    );
    let (configuration, faults) = config::read_configuration(
        Source {
            name: "inventory.json",
            text: &inventory,
        },
        Source {
            name: "rules.json",
            text: &rules,
        },
    );
    assert_eq!(faults, [], "{deployment}");
    configuration.expect("valid example")
}

/// Shares from names and numbers.
pub fn shares(list: &[(&str, f64)]) -> Shares {
    list.iter()
        .map(|(d, s)| ((*d).into(), *s))
        .collect::<BTreeMap<_, _>>()
}
