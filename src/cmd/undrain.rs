//! `undrain`: returns a drained machine or zone to service.

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use super::{drain, operator};

/// Definition of the command.
pub fn command() -> Command {
    let command = Command::new("undrain")
        .about("Give a drained server, entry VM, failure domain or region work again");
    drain::with_target(command)
}

/// Runs the command.
pub fn run(args: &ArgMatches) -> ExitCode {
    operator::run(args, |session| drain::change(session, args, false))
}
