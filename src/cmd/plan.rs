//! `plan`: shows what a change of inventory and rules does.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use clap::{Arg, ArgMatches, Command, value_parser};
use config::Configuration;

use super::exit::{self, Code};
use super::files;

/// Definition of the command.
pub fn command() -> Command {
    let file = |id: &'static str, help: &'static str| {
        Arg::new(id)
            .long(id)
            .value_name("FILE")
            .help(help)
            .required(true)
            .value_parser(value_parser!(PathBuf))
    };
    Command::new("plan")
        .about("Show what a change of inventory and rules does, without making it")
        .after_help(
            "Shares and slots are shown per service and failure domain. Exit codes: 0 within all\n\
             caps, 1 errors in a file, 2 usage, 5 file unreadable, 6 a cap would be passed",
        )
        .arg(file("inventory", "Inventory after the change"))
        .arg(file("rules", "Rules after the change"))
        .arg(file("before-inventory", "Inventory before the change"))
        .arg(file("before-rules", "Rules before the change"))
        .arg(
            Arg::new("at")
                .long("at")
                .value_name("MS")
                .help("Time of the change in milliseconds since the Unix epoch [default: now]")
                .value_parser(value_parser!(u64)),
        )
}

/// Runs the command.
pub fn run(args: &ArgMatches) -> ExitCode {
    let before = files::read_configuration(args, "before-inventory", "before-rules");
    let after = files::read_configuration(args, "inventory", "rules");
    let now_ms = args
        .get_one::<u64>("at")
        .copied()
        .unwrap_or_else(system_time_ms);
    match (before, after) {
        (Ok(before), Ok(after)) => print(&before, &after, now_ms).into(),
        (Err(exit::UNREADABLE), _) | (_, Err(exit::UNREADABLE)) => exit::UNREADABLE.into(),
        (Err(code), _) | (_, Err(code)) => code.into(),
    }
}

/// Prints the plan of a change that takes effect at a platform time.
pub fn print(before: &Configuration, after: &Configuration, now_ms: u64) -> Code {
    let plan = config::plan(before, after, now_ms);
    files::print(format_args!("{plan}"));
    if plan.passes_cap() {
        exit::CAP
    } else {
        exit::FINE
    }
}

/// The machine's time, used where the platform's time is not known.
fn system_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}
