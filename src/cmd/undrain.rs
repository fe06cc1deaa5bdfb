//! `undrain`: ends the drain of a server, entry VM, failure domain or region.

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use super::{drain, session};

pub fn command() -> Command {
    let command = Command::new("undrain")
        .about("End the drain of a server, entry VM, failure domain or region");
    drain::with_resource_args(command)
}

pub fn run(args: &ArgMatches) -> ExitCode {
    session::run(args, |session| drain::update_drain(session, args, false))
}
