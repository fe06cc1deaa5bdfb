//! Reading of settings, inventory, rules and whole configurations from text.

use std::fmt;

use error_stack::Report;
use serde::de::DeserializeOwned;

use crate::Configuration;
use crate::check::{
    check, check_inventory, check_rules, check_rules_with, check_settings, check_settings_with,
};
use crate::fault::{Fault, Faults};
use crate::inventory::Inventory;
use crate::node;
use crate::rules::Rules;
use crate::settings::Settings;
use crate::shape::{self, Field};
use crate::walk::{compare, repair};

/// Result of reading a file or configuration.
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Why a file or configuration is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// It has at least one fault of severity error; warnings are included.
    Faults(Vec<Fault>),
}

impl Error {
    /// All faults found.
    pub fn faults(&self) -> &[Fault] {
        let Error::Faults(faults) = self;
        faults
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.faults().iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}

/// A file to read.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// Name for messages.
    pub name: &'a str,
    /// Content.
    pub text: &'a str,
}

/// Kind of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Settings of an entry VM process.
    Settings,
    /// Inventory.
    Inventory,
    /// Rules.
    Rules,
}

/// Reads an inventory file; rejects it on any error.
pub fn parse_inventory(file_name: &str, text: &str) -> Result<Inventory> {
    let draft = Draft::read(file_name, text, shape::INVENTORY);
    draft.finish(check_inventory)
}

/// Reads a rules file; rejects it on any error that shows without the inventory.
pub fn parse_rules(file_name: &str, text: &str) -> Result<Rules> {
    Draft::read(file_name, text, shape::RULES).finish(check_rules)
}

/// Reads a settings file; rejects it on any error.
pub fn parse_settings(file_name: &str, text: &str) -> Result<Settings> {
    Draft::read(file_name, text, shape::SETTINGS).finish(check_settings)
}

/// Reads a whole configuration as written by [`crate::encode`]; rejects it on any error.
pub fn parse_configuration(bytes: &[u8]) -> Result<Configuration> {
    let configuration: Configuration = serde_json::from_slice(bytes).map_err(|error| {
        let mut faults = Faults::new("configuration");
        faults.error_at(
            error.line(),
            error.to_string(),
            "write it with the apply command",
        );
        Report::new(Error::Faults(faults.into_vec()))
    })?;
    let faults = check(&configuration);
    accept(configuration, faults)
}

/// Reads inventory and rules files together. Returns the configuration, if it has no errors, and
/// all faults of both files.
pub fn read_configuration(
    inventory: Source<'_>,
    rules: Source<'_>,
) -> (Option<Configuration>, Vec<Fault>) {
    let mut inventory: Draft<Inventory> =
        Draft::read(inventory.name, inventory.text, shape::INVENTORY);
    let mut rules: Draft<Rules> = Draft::read(rules.name, rules.text, shape::RULES);
    inventory.check(check_inventory);
    rules.check(check_rules);
    let both = inventory.value.take().zip(rules.value.take());
    let configuration = both.map(|(inventory, rules)| Configuration { inventory, rules });
    if let Some(configuration) = &configuration {
        rules.check_with(|faults| check_rules_with(configuration, faults));
    }
    let mut faults = inventory.faults;
    faults.extend(rules.faults);
    let valid = !faults.iter().any(Fault::is_error);
    (configuration.filter(|_| valid), faults)
}

/// Faults of one file. Settings are compared with the inventory, if one is given.
pub fn check_file(kind: Kind, file: Source<'_>, inventory: Option<&Inventory>) -> Vec<Fault> {
    match kind {
        Kind::Inventory => {
            let mut draft = Draft::read(file.name, file.text, shape::INVENTORY);
            draft.check(check_inventory);
            draft.faults
        }
        Kind::Rules => {
            let mut draft = Draft::read(file.name, file.text, shape::RULES);
            draft.check(check_rules);
            draft.faults
        }
        Kind::Settings => {
            let mut draft: Draft<Settings> = Draft::read(file.name, file.text, shape::SETTINGS);
            draft.check(|settings, faults| {
                check_settings(settings, faults);
                if let Some(inventory) = inventory {
                    check_settings_with(settings, inventory, faults);
                }
            });
            draft.faults
        }
    }
}

/// Recognises the kind of a file by its top-level fields; `None` if no field is known or the text
/// is no JSON object.
pub fn detect_kind(text: &str) -> Option<Kind> {
    let Ok(node::Node::Map(entries)) = node::parse(text) else {
        return None;
    };
    let count = |fields: &[Field]| {
        entries
            .iter()
            .filter(|(key, _)| fields.iter().any(|f| f.name == &**key))
            .count()
    };
    let kinds = [
        (count(shape::INVENTORY), Kind::Inventory),
        (count(shape::RULES), Kind::Rules),
        (count(shape::SETTINGS), Kind::Settings),
    ];
    kinds
        .into_iter()
        .filter(|(n, _)| *n > 0)
        .max_by_key(|(n, _)| *n)
        .map(|(_, kind)| kind)
}

/// A file read as far as its faults allow.
struct Draft<T> {
    /// File name.
    file: Box<str>,
    /// Content, with placeholders for wrong values; `None` if the text is no JSON.
    value: Option<T>,
    /// Paths of the placeholders.
    replaced: Vec<Box<str>>,
    /// Faults found so far.
    faults: Vec<Fault>,
}

impl<T: DeserializeOwned> Draft<T> {
    /// Reads a file with the given fields.
    fn read(file: &str, text: &str, fields: &'static [Field]) -> Draft<T> {
        let mut faults = Faults::new(file);
        let mut replaced = Vec::new();
        let mut value = None;
        match node::parse(text) {
            Err(error) => {
                // The parser gives no position when the text ends too early.
                let line = error
                    .position()
                    .map_or(text.lines().count().max(1), |p| p.line + 1);
                let message = error.to_string();
                let message = match message.split(" at line ").next().unwrap_or_default() {
                    m if m.starts_with("EOF") => "the text ends too early",
                    m => m,
                };
                faults.error_at(line, message, "correct the JSON text near this line");
            }
            Ok(node) => {
                compare(&node, fields, &mut faults);
                if faults.is_empty() {
                    drop(node);
                    value = json5::from_str(text).ok();
                } else {
                    faults = Faults::new(file);
                    let repaired = repair(&node, fields, &mut faults);
                    replaced = repaired.replaced;
                    value = serde_json::from_value(repaired.value).ok();
                }
                if value.is_none() {
                    faults.error("", "the content does not fit its fields", "correct it");
                }
            }
        }
        Draft {
            file: file.into(),
            value,
            replaced,
            faults: faults.into_vec(),
        }
    }

    /// Adds the faults of a check of the content.
    fn check(&mut self, check: impl FnOnce(&T, &mut Faults)) {
        if let Some(value) = self.value.take() {
            self.check_with(|faults| check(&value, faults));
            self.value = Some(value);
        }
    }

    /// Adds the faults of a check, except those of placeholders.
    fn check_with(&mut self, check: impl FnOnce(&mut Faults)) {
        let mut faults = Faults::new(&self.file);
        check(&mut faults);
        let replaced = &self.replaced;
        let genuine = |fault: &Fault| {
            !replaced
                .iter()
                .any(|r| inside(r, &fault.path) || inside(&fault.path, r))
        };
        self.faults
            .extend(faults.into_vec().into_iter().filter(genuine));
    }

    /// Checks the content and returns it if there is no error.
    fn finish(mut self, check: impl FnOnce(&T, &mut Faults)) -> Result<T> {
        self.check(check);
        match self.value {
            Some(value) => accept(value, self.faults),
            None => Err(Report::new(Error::Faults(self.faults))),
        }
    }
}

/// True if `path` is `outer` or lies inside it.
fn inside(outer: &str, path: &str) -> bool {
    path.strip_prefix(outer).is_some_and(|rest| {
        outer.is_empty() || rest.is_empty() || rest.starts_with('.') || rest.starts_with('[')
    })
}

/// Returns the value unless a fault is an error.
fn accept<T>(value: T, faults: Vec<Fault>) -> Result<T> {
    if faults.iter().any(Fault::is_error) {
        return Err(Report::new(Error::Faults(faults)));
    }
    Ok(value)
}
