//! Reading of the operator's files and printing of their faults.

use std::fmt;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use clap::ArgMatches;
use config::{Configuration, Diagnostic, Inventory, Source};

use super::exit::{self, Code};

/// A file with its name and content.
pub struct File {
    /// Path as given by the operator.
    pub name: String,
    /// Content.
    pub text: String,
}

impl File {
    /// The file as the parser takes it.
    pub fn source(&self) -> Source<'_> {
        Source {
            name: &self.name,
            text: &self.text,
        }
    }
}

/// Reads a file. A failure is printed and returned as its exit code.
pub fn read(path: &Path) -> Result<File, Code> {
    let name = path.display().to_string();
    let bytes = fs::read(path).map_err(|error| {
        eprintln!("{name}: error: cannot be read: {error}; check the path and its permissions");
        exit::UNREADABLE
    })?;
    let text = String::from_utf8(bytes).map_err(|error| {
        let at = error.utf8_error().valid_up_to();
        eprintln!("{name}: error: byte {at} is no UTF-8 text; save the file as UTF-8");
        exit::FAULTS
    })?;
    Ok(File { name, text })
}

/// Reads the inventory and rules files named by two options and checks them together. Faults are
/// printed to standard error; warnings alone do not stop the command.
pub fn read_configuration(
    args: &ArgMatches,
    inventory: &str,
    rules: &str,
) -> Result<Configuration, Code> {
    let file = |id: &str| read(args.get_one::<PathBuf>(id).ok_or(exit::USAGE)?);
    // Both are read before either failure is returned, so that both are reported.
    let (inventory, rules) = (file(inventory), file(rules));
    let (inventory, rules) = (inventory?, rules?);
    let (configuration, faults) = config::read_configuration(inventory.source(), rules.source());
    for fault in &faults {
        eprintln!("{fault}");
    }
    configuration.ok_or(exit::FAULTS)
}

/// Reads and checks an inventory file alone. Faults are printed to standard error.
pub fn read_inventory(path: &Path) -> Result<Inventory, Code> {
    let file = read(path)?;
    config::parse_inventory(&file.name, &file.text).map_err(|report| {
        eprintln!("{}", report.current_context());
        exit::FAULTS
    })
}

/// Text that counts errors and warnings.
pub fn summary(faults: &[Diagnostic]) -> String {
    let errors = faults.iter().filter(|f| f.is_error()).count();
    let plural = |n: usize| if n == 1 { "" } else { "s" };
    let warnings = faults.len() - errors;
    format!(
        "{errors} error{}, {warnings} warning{}",
        plural(errors),
        plural(warnings)
    )
}

/// Prints to standard output. A reader that has gone away, such as `head`, is no fault.
pub fn print(text: fmt::Arguments<'_>) {
    let _ = io::stdout().lock().write_fmt(text);
}
