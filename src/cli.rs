//! Defines the command line and dispatches to the subcommands in `src/cmd`.

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use crate::cmd;

/// One subcommand: its definition and the function that runs it.
struct Subcommand {
    command: fn() -> Command,
    run: fn(&ArgMatches) -> ExitCode,
}

/// All subcommands, in the order in which the help lists them.
const SUBCOMMANDS: &[Subcommand] = &[
    Subcommand {
        command: cmd::check::command,
        run: cmd::check::run,
    },
    Subcommand {
        command: cmd::plan::command,
        run: cmd::plan::run,
    },
    Subcommand {
        command: cmd::apply::command,
        run: cmd::apply::run,
    },
    Subcommand {
        command: cmd::show::command,
        run: cmd::show::run,
    },
    Subcommand {
        command: cmd::history::command,
        run: cmd::history::run,
    },
    Subcommand {
        command: cmd::revert_to::command,
        run: cmd::revert_to::run,
    },
    Subcommand {
        command: cmd::drain::command,
        run: cmd::drain::run,
    },
    Subcommand {
        command: cmd::undrain::command,
        run: cmd::undrain::run,
    },
    Subcommand {
        command: cmd::shift::command,
        run: cmd::shift::run,
    },
    Subcommand {
        command: cmd::status::command,
        run: cmd::status::run,
    },
    Subcommand {
        command: cmd::list::command,
        run: cmd::list::run,
    },
    Subcommand {
        command: cmd::settings::command,
        run: cmd::settings::run,
    },
    Subcommand {
        command: cmd::demo::command,
        run: cmd::demo::run,
    },
];

pub fn command() -> Command {
    Command::new("rosemaryglade")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Operates a rosemaryglade traffic steering deployment")
        .after_help("Exit codes are listed in docs/EXIT-CODES.md, file fields in docs/SETTINGS.md.")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(SUBCOMMANDS.iter().map(|s| (s.command)()))
}

/// Parses the process arguments and runs the selected subcommand.
pub fn run() -> ExitCode {
    let matches = command().get_matches();
    let Some((name, args)) = matches.subcommand() else {
        return cmd::exit::USAGE.into();
    };
    match SUBCOMMANDS
        .iter()
        .find(|s| (s.command)().get_name() == name)
    {
        Some(s) => (s.run)(args),
        None => cmd::exit::USAGE.into(),
    }
}
