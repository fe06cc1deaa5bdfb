//! Reads input files and prints their diagnostics.

use std::fmt;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use clap::ArgMatches;
use config::{Configuration, Diagnostic, Inventory, Source};

use super::exit::{self, Code};

pub struct File {
    /// Path as given on the command line.
    pub name: String,
    pub text: String,
}

impl File {
    /// Returns the file as input of the parser.
    pub fn source(&self) -> Source<'_> {
        Source {
            name: &self.name,
            text: &self.text,
        }
    }
}

/// Reads a file. Prints a failure and returns its exit code.
pub fn read(path: &Path) -> Result<File, Code> {
    let name = path.display().to_string();
    let bytes = fs::read(path).map_err(|error| {
        eprintln!("{name}: error: cannot be read: {error}; check the path and its permissions");
        exit::FILE_UNREADABLE
    })?;
    let text = String::from_utf8(bytes).map_err(|error| {
        let offset = error.utf8_error().valid_up_to();
        eprintln!("{name}: error: invalid UTF-8 at byte {offset}; save the file as UTF-8");
        exit::FAILURE
    })?;
    Ok(File { name, text })
}

/// Reads the inventory and rules files given by two options and checks them together. Prints the
/// diagnostics to standard error; only errors make it fail.
pub fn read_configuration(
    args: &ArgMatches,
    inventory: &str,
    rules: &str,
) -> Result<Configuration, Code> {
    let file = |id: &str| read(args.get_one::<PathBuf>(id).ok_or(exit::USAGE)?);
    // Both are read before a failure is returned, so that failures of both are printed.
    let (inventory, rules) = (file(inventory), file(rules));
    let (inventory, rules) = (inventory?, rules?);
    let (configuration, diagnostics) =
        config::read_configuration(inventory.source(), rules.source());
    for diagnostic in &diagnostics {
        eprintln!("{diagnostic}");
    }
    configuration.ok_or(exit::FAILURE)
}

/// Reads and checks an inventory file. Prints the errors to standard error.
pub fn read_inventory(path: &Path) -> Result<Inventory, Code> {
    let file = read(path)?;
    config::parse_inventory(&file.name, &file.text).map_err(|report| {
        eprintln!("{}", report.current_context());
        exit::FAILURE
    })
}

/// Formats the number of errors and warnings.
pub fn summary(diagnostics: &[Diagnostic]) -> String {
    let errors = diagnostics.iter().filter(|f| f.is_error()).count();
    let plural = |n: usize| if n == 1 { "" } else { "s" };
    let warnings = diagnostics.len() - errors;
    format!(
        "{errors} error{}, {warnings} warning{}",
        plural(errors),
        plural(warnings)
    )
}

/// Prints to standard output. Ignores errors, because a reader such as `head` may close the pipe.
pub fn print(text: fmt::Arguments<'_>) {
    let _ = io::stdout().lock().write_fmt(text);
}
