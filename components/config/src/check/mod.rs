//! Checks of the content of inventory, rules and settings.

mod inventory;
mod rules;
mod settings;

use std::collections::HashSet;

use crate::Configuration;
use crate::diagnostic::{Diagnostic, Diagnostics};
use crate::suggest::suggest_names;

pub(crate) use inventory::check_inventory;
pub(crate) use rules::{check_rules, check_rules_against_inventory};
pub(crate) use settings::{check_settings, check_settings_against_inventory};

/// Maximum length of a name; names are written into headers and log lines.
const MAX_NAME_BYTES: usize = 64;

/// Checks a complete configuration and returns all diagnostics: those of the inventory, then those
/// of the rules.
pub fn check(configuration: &Configuration) -> Vec<Diagnostic> {
    let mut diagnostics = Diagnostics::new("inventory");
    check_inventory(&configuration.inventory, &mut diagnostics);
    let mut all = diagnostics.into_vec();
    let mut diagnostics = Diagnostics::new("rules");
    check_rules(&configuration.rules, &mut diagnostics);
    check_rules_against_inventory(configuration, &mut diagnostics);
    all.extend(diagnostics.into_vec());
    all
}

/// Names of one kind of resource, to find duplicates and unknown references.
struct NameIndex<'a> {
    /// Kind of resource in the singular, for messages.
    kind: &'static str,
    set: HashSet<&'a str>,
}

impl<'a> NameIndex<'a> {
    /// Collects names and reports invalid and duplicate ones; `list` is the field that contains
    /// them.
    fn collect(
        kind: &'static str,
        list: &str,
        names: impl Iterator<Item = &'a str>,
        diagnostics: &mut Diagnostics,
    ) -> NameIndex<'a> {
        let mut set = HashSet::new();
        for (i, name) in names.enumerate() {
            let path = || format!("{list}[{i}].id");
            check_name(name, path, diagnostics);
            if !set.insert(name) && !name.is_empty() {
                let message = format!("duplicate {kind} name {name:?}");
                diagnostics.error(&path(), message, "give each a unique name");
            }
        }
        NameIndex { kind, set }
    }

    /// Collects names that are checked elsewhere.
    fn from_existing(kind: &'static str, names: impl Iterator<Item = &'a str>) -> NameIndex<'a> {
        NameIndex {
            kind,
            set: names.collect(),
        }
    }

    /// Reports a reference to a name that does not exist.
    fn check_exists(&self, name: &str, path: impl Fn() -> String, diagnostics: &mut Diagnostics) {
        if !self.set.contains(name) {
            let message = format!("{} {name:?} does not exist", self.kind);
            diagnostics.error(
                &path(),
                message,
                suggest_names(name, self.set.iter().copied()),
            );
        }
    }
}

/// Reports an invalid name.
fn check_name(name: &str, path: impl Fn() -> String, diagnostics: &mut Diagnostics) {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(allowed) {
        let message = format!("{name:?} is not a valid name");
        let fix = format!("use 1 to {MAX_NAME_BYTES} letters (a-z, A-Z), digits, '-', '_' or '.'");
        diagnostics.error(&path(), message, fix);
    }
}

/// Reports a delay that is not between 0 and one minute.
fn check_delay(delay_ms: f64, path: impl Fn() -> String, diagnostics: &mut Diagnostics) {
    if !(0.0..=60_000.0).contains(&delay_ms) {
        let message = format!("delay of {delay_ms} ms is out of range");
        diagnostics.error(&path(), message, "give a number from 0 to 60000");
    }
}

/// Reports an integer that is out of range.
fn check_range(
    value: u64,
    limits: std::ops::RangeInclusive<u64>,
    path: &str,
    diagnostics: &mut Diagnostics,
) {
    if !limits.contains(&value) {
        let fix = format!(
            "give an integer from {} to {}",
            limits.start(),
            limits.end()
        );
        diagnostics.error(path, format!("{value} is out of range"), fix);
    }
}
