//! `check`: reports the faults of settings, inventory and rules files.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use config::{Diagnostic, FileKind, Severity};

use super::exit::{self, Code};
use super::files::{self, File};

/// Options that state the kind of a file.
const KINDS: [(&str, FileKind); 3] = [
    ("settings", FileKind::Settings),
    ("inventory", FileKind::Inventory),
    ("rules", FileKind::Rules),
];

/// Checks the text of a file of the users' platform.
type PlatformCheck = fn(&str) -> Result<(), platform_adapter::Error>;

/// Options for files of the users' platform.
const PLATFORM_FILES: [(&str, PlatformCheck); 2] = [
    ("gateway-settings", |text| {
        platform_adapter::settings::parse(text)
            .map(|_| ())
            .map_err(|report| report.current_context().clone())
    }),
    ("gateway-configuration", |text| {
        platform_adapter::configuration::decode(text.as_bytes()).map(|_| ())
    }),
];

/// Definition of the command.
pub fn command() -> Command {
    let path = value_parser!(PathBuf);
    let names = KINDS.map(|(name, _)| name).into_iter();
    let names = names.chain(PLATFORM_FILES.map(|(name, _)| name));
    let kinds = names.map(|name| {
        Arg::new(name)
            .long(name)
            .value_name("FILE")
            .help(format!("File that is checked as {name}"))
            .action(ArgAction::Append)
            .value_parser(path.clone())
    });
    Command::new("check")
        .about("Check settings, inventory and rules files and report all faults")
        .after_help(
            "Rules and settings are checked against the inventory given with them; with several\n\
             inventories, against the one in the same folder.\n\n\
             Files of the users' platform need their option: the settings file of an entry VM and the\n\
             configuration that the operator writes to the store.\n\n\
             Example: rosemaryglade check examples/notensatz/*.json\n\n\
             Exit codes: 0 no errors, 1 errors found, 2 usage, 5 file unreadable",
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .help("File whose kind is recognised by its fields")
                .action(ArgAction::Append)
                .num_args(1..)
                .required_unless_present_any(
                    KINDS
                        .map(|(name, _)| name)
                        .into_iter()
                        .chain(PLATFORM_FILES.map(|(name, _)| name)),
                )
                .value_parser(path.clone()),
        )
        .args(kinds)
}

/// A file to check.
struct Input {
    /// Path.
    path: PathBuf,
    /// Kind.
    kind: FileKind,
    /// Content.
    file: File,
}

/// Runs the command.
pub fn run(args: &ArgMatches) -> ExitCode {
    let (inputs, failure) = read_inputs(args);
    let mut faults = Vec::new();
    let mut usage = None;
    for input in &inputs {
        match check(input, &inputs) {
            Ok(found) => faults.extend(found),
            Err(code) => usage = Some(code),
        }
    }
    let (platform_files, failed) = check_platform_files(args, &mut faults);
    let failure = failure.or(failed);
    for fault in &faults {
        files::print(format_args!("{fault}\n"));
    }
    let summary = files::summary(&faults);
    let (checked, given) = (inputs.len() + platform_files, count(args));
    let rest = match given - checked {
        0 => String::new(),
        n => format!("; {n} could not be checked"),
    };
    files::print(format_args!(
        "{summary} in {checked} of {given} files{rest}\n"
    ));
    let found = faults
        .iter()
        .any(Diagnostic::is_error)
        .then_some(exit::FAULTS);
    failure.or(usage).or(found).unwrap_or(exit::FINE).into()
}

/// Number of files on the command line.
fn count(args: &ArgMatches) -> usize {
    let ids = KINDS.iter().map(|(name, _)| *name).chain(["file"]);
    let ids = ids.chain(PLATFORM_FILES.map(|(name, _)| name));
    ids.map(|id| args.get_many::<PathBuf>(id).map_or(0, Iterator::count))
        .sum()
}

/// Checks the files of the users' platform; returns how many could be read.
fn check_platform_files(args: &ArgMatches, faults: &mut Vec<Diagnostic>) -> (usize, Option<Code>) {
    let (mut checked, mut failure) = (0, None);
    for (id, check) in PLATFORM_FILES {
        for path in args.get_many::<PathBuf>(id).unwrap_or_default() {
            let file = match files::read(path) {
                Ok(file) => file,
                Err(code) => {
                    failure = Some(code);
                    continue;
                }
            };
            checked += 1;
            let Err(e) = check(&file.text) else { continue };
            faults.push(Diagnostic {
                severity: Severity::Error,
                file: file.name.into(),
                line: None,
                path: e.field().into(),
                message: e.reason().into(),
                fix: "".into(),
            });
        }
    }
    (checked, failure)
}

/// Reads all files; goes on after a failure, so that the faults of the others are reported.
fn read_inputs(args: &ArgMatches) -> (Vec<Input>, Option<Code>) {
    let mut inputs = Vec::new();
    let mut failure = None;
    let stated = KINDS.iter().map(|(name, kind)| (*name, Some(*kind)));
    for (id, kind) in stated.chain([("file", None)]) {
        for path in args.get_many::<PathBuf>(id).unwrap_or_default() {
            match read_input(path, kind) {
                Ok(input) => inputs.push(input),
                // An unreadable file takes precedence over a faulty one.
                Err(code) if failure != Some(exit::UNREADABLE) => failure = Some(code),
                Err(_) => {}
            }
        }
    }
    (inputs, failure)
}

fn read_input(path: &Path, kind: Option<FileKind>) -> Result<Input, Code> {
    let file = files::read(path)?;
    let kind = kind.or_else(|| config::detect_kind(&file.text));
    let Some(kind) = kind.or_else(|| kind_by_name(path)) else {
        eprintln!(
            "{}: error: no field of settings, inventory or rules is found; correct the file or \
             state its kind with --settings, --inventory or --rules",
            file.name
        );
        return Err(exit::FAULTS);
    };
    Ok(Input {
        path: path.into(),
        kind,
        file,
    })
}

/// Kind by file name, for files whose text cannot be read as JSON.
fn kind_by_name(path: &Path) -> Option<FileKind> {
    let stem = path.file_stem()?.to_str()?;
    KINDS
        .into_iter()
        .find(|(name, _)| stem.contains(name))
        .map(|(_, kind)| kind)
}

/// Checks one file, together with its inventory if there is one.
fn check(input: &Input, inputs: &[Input]) -> Result<Vec<Diagnostic>, Code> {
    if input.kind == FileKind::Inventory {
        return Ok(config::check_file(input.kind, input.file.source(), None));
    }
    let Some(inventory) = inventory_of(input, inputs)? else {
        eprintln!("{}: note: checked without an inventory", input.file.name);
        return Ok(config::check_file(input.kind, input.file.source(), None));
    };
    let source = inventory.file.source();
    if input.kind == FileKind::Rules {
        let (_, mut faults) = config::read_configuration(source, input.file.source());
        // The faults of the inventory are reported once, for the inventory itself.
        faults.retain(|fault| *fault.file == *input.file.name);
        return Ok(faults);
    }
    let inventory = config::parse_inventory(&inventory.file.name, &inventory.file.text).ok();
    Ok(config::check_file(
        input.kind,
        input.file.source(),
        inventory.as_ref(),
    ))
}

/// The only inventory, or the only one in the same folder.
fn inventory_of<'a>(input: &Input, inputs: &'a [Input]) -> Result<Option<&'a Input>, Code> {
    let inventories: Vec<&Input> = inputs
        .iter()
        .filter(|i| i.kind == FileKind::Inventory)
        .collect();
    if inventories.len() <= 1 {
        return Ok(inventories.first().copied());
    }
    let near: Vec<&&Input> = inventories
        .iter()
        .filter(|i| i.path.parent() == input.path.parent())
        .collect();
    if near.len() > 1 {
        eprintln!(
            "{}: error: several inventories fit; give one at a time",
            input.file.name
        );
        return Err(exit::USAGE);
    }
    Ok(near.first().map(|i| **i))
}
