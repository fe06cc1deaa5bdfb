//! `check`: prints the diagnostics of settings, inventory and rules files.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use config::{Diagnostic, FileKind, Severity};

use super::exit::{self, Code};
use super::files::{self, File};

/// Options that specify the kind of a file.
const FILE_KINDS: [(&str, FileKind); 3] = [
    ("settings", FileKind::Settings),
    ("inventory", FileKind::Inventory),
    ("rules", FileKind::Rules),
];

/// Validates the text of a file of the users' platform.
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

pub fn command() -> Command {
    let path = value_parser!(PathBuf);
    let names = FILE_KINDS.map(|(name, _)| name).into_iter();
    let names = names.chain(PLATFORM_FILES.map(|(name, _)| name));
    let kinds = names.map(|name| {
        Arg::new(name)
            .long(name)
            .value_name("FILE")
            .help(format!("File to check as {name}"))
            .action(ArgAction::Append)
            .value_parser(path.clone())
    });
    Command::new("check")
        .about("Check settings, inventory and rules files and print all errors and warnings")
        .after_help(
            "Rules and settings are checked against the inventory on the command line; if there are\n\
             several, against the one in the same directory.\n\n\
             Files of the users' platform are not detected by their fields: give the settings file of\n\
             an entry VM with --gateway-settings, and the configuration that the operator writes to\n\
             the store with --gateway-configuration.\n\n\
             Example: rosemaryglade check examples/notensatz/*.json\n\n\
             Exit codes: 0 no errors, 1 errors found, 2 usage, 5 file unreadable",
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .help("File whose kind is detected from its fields")
                .action(ArgAction::Append)
                .num_args(1..)
                .required_unless_present_any(
                    FILE_KINDS
                        .map(|(name, _)| name)
                        .into_iter()
                        .chain(PLATFORM_FILES.map(|(name, _)| name)),
                )
                .value_parser(path.clone()),
        )
        .args(kinds)
}

struct Input {
    path: PathBuf,
    kind: FileKind,
    file: File,
}

pub fn run(args: &ArgMatches) -> ExitCode {
    let (inputs, failure) = read_inputs(args);
    let mut diagnostics = Vec::new();
    let mut usage = None;
    for input in &inputs {
        match check(input, &inputs) {
            Ok(found) => diagnostics.extend(found),
            Err(code) => usage = Some(code),
        }
    }
    let (platform_files, platform_failure) = check_platform_files(args, &mut diagnostics);
    let failure = failure.or(platform_failure);
    for diagnostic in &diagnostics {
        files::print(format_args!("{diagnostic}\n"));
    }
    let summary = files::summary(&diagnostics);
    let (checked, given) = (inputs.len() + platform_files, count_files(args));
    let unchecked = match given - checked {
        0 => String::new(),
        n => format!("; {n} could not be checked"),
    };
    files::print(format_args!(
        "{summary} in {checked} of {given} files{unchecked}\n"
    ));
    let errors = diagnostics
        .iter()
        .any(Diagnostic::is_error)
        .then_some(exit::FAILURE);
    failure.or(usage).or(errors).unwrap_or(exit::SUCCESS).into()
}

/// Returns the number of files on the command line.
fn count_files(args: &ArgMatches) -> usize {
    let ids = FILE_KINDS.iter().map(|(name, _)| *name).chain(["file"]);
    let ids = ids.chain(PLATFORM_FILES.map(|(name, _)| name));
    ids.map(|id| args.get_many::<PathBuf>(id).map_or(0, Iterator::count))
        .sum()
}

/// Checks the files of the users' platform. Returns how many could be read, and the exit code if
/// one could not.
fn check_platform_files(
    args: &ArgMatches,
    diagnostics: &mut Vec<Diagnostic>,
) -> (usize, Option<Code>) {
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
            diagnostics.push(Diagnostic {
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

/// Reads all files. Continues after a failure, so that diagnostics of the other files are printed.
fn read_inputs(args: &ArgMatches) -> (Vec<Input>, Option<Code>) {
    let mut inputs = Vec::new();
    let mut failure = None;
    let explicit = FILE_KINDS.iter().map(|(name, kind)| (*name, Some(*kind)));
    for (id, kind) in explicit.chain([("file", None)]) {
        for path in args.get_many::<PathBuf>(id).unwrap_or_default() {
            match read_input(path, kind) {
                Ok(input) => inputs.push(input),
                // The exit code for an unreadable file takes precedence.
                Err(code) if failure != Some(exit::FILE_UNREADABLE) => failure = Some(code),
                Err(_) => {}
            }
        }
    }
    (inputs, failure)
}

fn read_input(path: &Path, kind: Option<FileKind>) -> Result<Input, Code> {
    let file = files::read(path)?;
    let kind = kind.or_else(|| config::detect_kind(&file.text));
    let Some(kind) = kind.or_else(|| kind_from_file_name(path)) else {
        eprintln!(
            "{}: error: no field of settings, inventory or rules found; correct the file or \
             specify its kind with --settings, --inventory or --rules",
            file.name
        );
        return Err(exit::FAILURE);
    };
    Ok(Input {
        path: path.into(),
        kind,
        file,
    })
}

/// Detects the kind from the file name, for files that are not valid JSON.
fn kind_from_file_name(path: &Path) -> Option<FileKind> {
    let stem = path.file_stem()?.to_str()?;
    FILE_KINDS
        .into_iter()
        .find(|(name, _)| stem.contains(name))
        .map(|(_, kind)| kind)
}

/// Checks one file, against its inventory if there is one.
fn check(input: &Input, inputs: &[Input]) -> Result<Vec<Diagnostic>, Code> {
    if input.kind == FileKind::Inventory {
        return Ok(config::check_file(input.kind, input.file.source(), None));
    }
    let Some(inventory) = inventory_for(input, inputs)? else {
        eprintln!("{}: note: checked without an inventory", input.file.name);
        return Ok(config::check_file(input.kind, input.file.source(), None));
    };
    let source = inventory.file.source();
    if input.kind == FileKind::Rules {
        let (_, mut diagnostics) = config::read_configuration(source, input.file.source());
        // The diagnostics of the inventory are printed once, when the inventory itself is checked.
        diagnostics.retain(|diagnostic| *diagnostic.file == *input.file.name);
        return Ok(diagnostics);
    }
    let inventory = config::parse_inventory(&inventory.file.name, &inventory.file.text).ok();
    Ok(config::check_file(
        input.kind,
        input.file.source(),
        inventory.as_ref(),
    ))
}

/// Returns the only inventory or, if there are several, the one in the same directory.
fn inventory_for<'a>(input: &Input, inputs: &'a [Input]) -> Result<Option<&'a Input>, Code> {
    let inventories: Vec<&Input> = inputs
        .iter()
        .filter(|i| i.kind == FileKind::Inventory)
        .collect();
    if inventories.len() <= 1 {
        return Ok(inventories.first().copied());
    }
    let same_directory: Vec<&&Input> = inventories
        .iter()
        .filter(|i| i.path.parent() == input.path.parent())
        .collect();
    if same_directory.len() > 1 {
        eprintln!(
            "{}: error: there are several inventories in its directory; give only one",
            input.file.name
        );
        return Err(exit::USAGE);
    }
    Ok(same_directory.first().map(|i| **i))
}
