//! Parsing and validation of settings, inventory, rules and complete configurations.

use std::fmt;

use error_stack::Report;
use serde::de::DeserializeOwned;

use crate::Configuration;
use crate::check::{
    check, check_inventory, check_rules, check_rules_against_inventory, check_settings,
    check_settings_against_inventory,
};
use crate::diagnostic::{Diagnostic, Diagnostics};
use crate::inventory::Inventory;
use crate::json;
use crate::rules::Rules;
use crate::schema::{self, Field};
use crate::settings::Settings;
use crate::validate::{repair, validate};

pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Why a file or configuration is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// At least one diagnostic is an error; warnings are included.
    Invalid(Vec<Diagnostic>),
}

impl Error {
    pub fn diagnostics(&self) -> &[Diagnostic] {
        let Error::Invalid(diagnostics) = self;
        diagnostics
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, diagnostic) in self.diagnostics().iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{diagnostic}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}

/// A file to parse.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// File name for messages.
    pub name: &'a str,
    pub text: &'a str,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FileKind {
    /// Settings of an entry VM process.
    Settings,
    Inventory,
    Rules,
}

/// Parses an inventory file; fails on any error.
pub fn parse_inventory(file_name: &str, text: &str) -> Result<Inventory> {
    let parsed = ParsedFile::read(file_name, text, schema::INVENTORY);
    parsed.into_result(check_inventory)
}

/// Parses a rules file; fails on any error that can be found without the inventory.
pub fn parse_rules(file_name: &str, text: &str) -> Result<Rules> {
    ParsedFile::read(file_name, text, schema::RULES).into_result(check_rules)
}

/// Parses a settings file; fails on any error.
pub fn parse_settings(file_name: &str, text: &str) -> Result<Settings> {
    ParsedFile::read(file_name, text, schema::SETTINGS).into_result(check_settings)
}

/// Parses a configuration encoded by [`crate::encode`]; fails on any error.
pub fn parse_configuration(bytes: &[u8]) -> Result<Configuration> {
    let configuration: Configuration = serde_json::from_slice(bytes).map_err(|error| {
        let mut diagnostics = Diagnostics::new("configuration");
        diagnostics.error_at(
            error.line(),
            error.to_string(),
            "store configurations only with the apply command",
        );
        Report::new(Error::Invalid(diagnostics.into_vec()))
    })?;
    let diagnostics = check(&configuration);
    reject_errors(configuration, diagnostics)
}

/// Parses inventory and rules files together. Returns the configuration, unless there are errors,
/// and the diagnostics of both files.
pub fn read_configuration(
    inventory: Source<'_>,
    rules: Source<'_>,
) -> (Option<Configuration>, Vec<Diagnostic>) {
    let mut inventory: ParsedFile<Inventory> =
        ParsedFile::read(inventory.name, inventory.text, schema::INVENTORY);
    let mut rules: ParsedFile<Rules> = ParsedFile::read(rules.name, rules.text, schema::RULES);
    inventory.check(check_inventory);
    rules.check(check_rules);
    let both = inventory.value.take().zip(rules.value.take());
    let configuration = both.map(|(inventory, rules)| Configuration { inventory, rules });
    if let Some(configuration) = &configuration {
        rules.run_check(|diagnostics| check_rules_against_inventory(configuration, diagnostics));
    }
    let mut diagnostics = inventory.diagnostics;
    diagnostics.extend(rules.diagnostics);
    let valid = !diagnostics.iter().any(Diagnostic::is_error);
    (configuration.filter(|_| valid), diagnostics)
}

/// Returns the diagnostics of one file. Settings are also compared with the inventory, if one is
/// given.
pub fn check_file(
    kind: FileKind,
    file: Source<'_>,
    inventory: Option<&Inventory>,
) -> Vec<Diagnostic> {
    match kind {
        FileKind::Inventory => {
            let mut parsed = ParsedFile::read(file.name, file.text, schema::INVENTORY);
            parsed.check(check_inventory);
            parsed.diagnostics
        }
        FileKind::Rules => {
            let mut parsed = ParsedFile::read(file.name, file.text, schema::RULES);
            parsed.check(check_rules);
            parsed.diagnostics
        }
        FileKind::Settings => {
            let mut parsed: ParsedFile<Settings> =
                ParsedFile::read(file.name, file.text, schema::SETTINGS);
            parsed.check(|settings, diagnostics| {
                check_settings(settings, diagnostics);
                if let Some(inventory) = inventory {
                    check_settings_against_inventory(settings, inventory, diagnostics);
                }
            });
            parsed.diagnostics
        }
    }
}

/// Detects the kind of a file by its top-level fields; `None` if no field is known or the text is
/// not a JSON object.
pub fn detect_kind(text: &str) -> Option<FileKind> {
    let Ok(json::JsonValue::Object(entries)) = json::parse(text) else {
        return None;
    };
    let count = |fields: &[Field]| {
        entries
            .iter()
            .filter(|(key, _)| fields.iter().any(|f| f.name == &**key))
            .count()
    };
    let kinds = [
        (count(schema::INVENTORY), FileKind::Inventory),
        (count(schema::RULES), FileKind::Rules),
        (count(schema::SETTINGS), FileKind::Settings),
    ];
    kinds
        .into_iter()
        .filter(|(n, _)| *n > 0)
        .max_by_key(|(n, _)| *n)
        .map(|(_, kind)| kind)
}

/// A parsed file with its diagnostics; the content is incomplete if there are errors.
struct ParsedFile<T> {
    file: Box<str>,
    /// Content, with placeholders for invalid values; `None` if the text is not valid JSON.
    value: Option<T>,
    /// Paths of the values that were replaced by placeholders.
    placeholders: Vec<Box<str>>,
    diagnostics: Vec<Diagnostic>,
}

impl<T: DeserializeOwned> ParsedFile<T> {
    /// Parses a file and validates it against a schema.
    fn read(file: &str, text: &str, fields: &'static [Field]) -> ParsedFile<T> {
        let mut diagnostics = Diagnostics::new(file);
        let mut placeholders = Vec::new();
        let mut value = None;
        match json::parse(text) {
            Err(error) => {
                // At an unexpected end of input the parser gives no position; use the last line.
                let line = error
                    .position()
                    .map_or(text.lines().count().max(1), |p| p.line + 1);
                let message = error.to_string();
                let message = match message.split(" at line ").next().unwrap_or_default() {
                    m if m.starts_with("EOF") => "unexpected end of file",
                    m => m,
                };
                diagnostics.error_at(line, message, "correct the JSON text near this line");
            }
            Ok(json_value) => {
                validate(&json_value, fields, &mut diagnostics);
                if diagnostics.is_empty() {
                    drop(json_value);
                    value = json5::from_str(text).ok();
                } else {
                    diagnostics = Diagnostics::new(file);
                    let repaired = repair(&json_value, fields, &mut diagnostics);
                    placeholders = repaired.placeholders;
                    value = serde_json::from_value(repaired.value).ok();
                }
                if value.is_none() {
                    diagnostics.error(
                        "",
                        "content does not match the expected fields",
                        "correct the fields",
                    );
                }
            }
        }
        ParsedFile {
            file: file.into(),
            value,
            placeholders,
            diagnostics: diagnostics.into_vec(),
        }
    }

    /// Runs a check of the content.
    fn check(&mut self, check: impl FnOnce(&T, &mut Diagnostics)) {
        if let Some(value) = self.value.take() {
            self.run_check(|diagnostics| check(&value, diagnostics));
            self.value = Some(value);
        }
    }

    /// Runs a check and adds its diagnostics, except those caused by placeholders.
    fn run_check(&mut self, check: impl FnOnce(&mut Diagnostics)) {
        let mut diagnostics = Diagnostics::new(&self.file);
        check(&mut diagnostics);
        let placeholders = &self.placeholders;
        let is_real = |diagnostic: &Diagnostic| {
            !placeholders
                .iter()
                .any(|r| is_within(r, &diagnostic.path) || is_within(&diagnostic.path, r))
        };
        self.diagnostics
            .extend(diagnostics.into_vec().into_iter().filter(is_real));
    }

    /// Runs a check of the content and returns the content if there are no errors.
    fn into_result(mut self, check: impl FnOnce(&T, &mut Diagnostics)) -> Result<T> {
        self.check(check);
        match self.value {
            Some(value) => reject_errors(value, self.diagnostics),
            None => Err(Report::new(Error::Invalid(self.diagnostics))),
        }
    }
}

/// Returns true if `path` is `outer` or a path inside it.
fn is_within(outer: &str, path: &str) -> bool {
    path.strip_prefix(outer).is_some_and(|rest| {
        outer.is_empty() || rest.is_empty() || rest.starts_with('.') || rest.starts_with('[')
    })
}

/// Returns the value, or all diagnostics if one of them is an error.
fn reject_errors<T>(value: T, diagnostics: Vec<Diagnostic>) -> Result<T> {
    if diagnostics.iter().any(Diagnostic::is_error) {
        return Err(Report::new(Error::Invalid(diagnostics)));
    }
    Ok(value)
}
