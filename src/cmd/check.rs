//! `check`: reports the faults of settings, inventory and rules files.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use super::exit;

/// Definition of the command.
pub fn command() -> Command {
    Command::new("check")
        .about("Check settings, inventory and rules files and report all faults")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .help("Settings, inventory or rules file")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf)),
        )
}

/// Runs the command.
pub fn run(_args: &ArgMatches) -> ExitCode {
    exit::FAULTS.into()
}
