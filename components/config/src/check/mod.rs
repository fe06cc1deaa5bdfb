//! Checks of the content of inventory, rules and settings.

mod inventory;
mod rules;
mod settings;

use std::collections::HashSet;

use crate::Configuration;
use crate::fault::{Fault, Faults};
use crate::near::use_one_of;

pub(crate) use inventory::check_inventory;
pub(crate) use rules::{check_rules, check_rules_with};
pub(crate) use settings::{check_settings, check_settings_with};

/// Longest name of a machine, zone or service; names go into headers and log lines.
const MAX_NAME: usize = 64;

/// Checks a whole configuration and returns all faults, in the order of the file content.
pub fn check(configuration: &Configuration) -> Vec<Fault> {
    let mut faults = Faults::new("inventory");
    check_inventory(&configuration.inventory, &mut faults);
    let mut all = faults.into_vec();
    let mut faults = Faults::new("rules");
    check_rules(&configuration.rules, &mut faults);
    check_rules_with(configuration, &mut faults);
    all.extend(faults.into_vec());
    all
}

/// Names of one kind, for duplicate and reference checks.
struct Names<'a> {
    /// What the names stand for, in the singular.
    what: &'static str,
    /// All names.
    set: HashSet<&'a str>,
}

impl<'a> Names<'a> {
    /// Collects names and reports malformed and duplicate ones; `list` is the field they are in.
    fn collect(
        what: &'static str,
        list: &str,
        names: impl Iterator<Item = &'a str>,
        faults: &mut Faults,
    ) -> Names<'a> {
        let mut set = HashSet::new();
        for (i, name) in names.enumerate() {
            let path = || format!("{list}[{i}].id");
            check_name(name, path, faults);
            if !set.insert(name) && !name.is_empty() {
                let message = format!("another {what} is named {name:?} as well");
                faults.error(&path(), message, "give each its own name");
            }
        }
        Names { what, set }
    }

    /// Takes names that are checked elsewhere.
    fn known(what: &'static str, names: impl Iterator<Item = &'a str>) -> Names<'a> {
        Names {
            what,
            set: names.collect(),
        }
    }

    /// Reports a name that does not exist.
    fn expect(&self, name: &str, path: impl Fn() -> String, faults: &mut Faults) {
        if !self.set.contains(name) {
            let message = format!("{} {name:?} does not exist", self.what);
            faults.error(&path(), message, use_one_of(name, self.set.iter().copied()));
        }
    }
}

/// Reports a malformed name.
fn check_name(name: &str, path: impl Fn() -> String, faults: &mut Faults) {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    if name.is_empty() || name.len() > MAX_NAME || !name.bytes().all(allowed) {
        let message = format!("{name:?} is no valid name");
        let fix = format!("use 1 to {MAX_NAME} letters a-z, digits, '-', '_' or '.'");
        faults.error(&path(), message, fix);
    }
}

/// Reports a delay that is no number of milliseconds up to a minute.
fn check_delay(delay_ms: f64, path: impl Fn() -> String, faults: &mut Faults) {
    if !(0.0..=60_000.0).contains(&delay_ms) {
        let message = format!("delay of {delay_ms} ms is impossible");
        faults.error(&path(), message, "give a number from 0 to 60000");
    }
}

/// Reports a whole number outside its limits.
fn check_range(value: u64, limits: std::ops::RangeInclusive<u64>, path: &str, faults: &mut Faults) {
    if !limits.contains(&value) {
        let fix = format!(
            "give a whole number from {} to {}",
            limits.start(),
            limits.end()
        );
        faults.error(path, format!("{value} is outside the limits"), fix);
    }
}
