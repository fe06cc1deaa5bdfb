//! `plan`: shows what a change of inventory and rules does.

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use super::exit;

/// Definition of the command.
pub fn command() -> Command {
    Command::new("plan").about("Show what a change of inventory and rules does")
}

/// Runs the command.
pub fn run(_args: &ArgMatches) -> ExitCode {
    exit::CAP.into()
}
