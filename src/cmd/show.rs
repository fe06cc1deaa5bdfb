//! `show`: prints the configuration in force or an earlier one.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use config::Generation;
use platform::{Head, format_time};
use serde::Serialize;

use super::operator::{self, Result, Session};
use super::{exit, files};

/// Parts of a configuration that can be printed alone.
const PARTS: [&str; 2] = ["inventory", "rules"];

/// Definition of the command.
pub fn command() -> Command {
    let command = Command::new("show")
        .about("Print the configuration in force, or the one of a generation")
        .after_help(
            "The output begins with a comment line. With --part it can be edited and given to\n\
             apply.\n\n\
             Exit codes: 0 printed, 1 no such generation or not valid, 2 usage, 4 platform\n\
             unreachable",
        )
        .arg(
            Arg::new("generation")
                .long("generation")
                .value_name("N")
                .help("Generation [default: the one in force]")
                .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(
            Arg::new("part")
                .long("part")
                .value_name("PART")
                .help("Print only this part")
                .value_parser(PARTS),
        );
    operator::with_platform(command)
}

/// Runs the command.
pub fn run(args: &ArgMatches) -> ExitCode {
    operator::run(args, |session| show(session, args))
}

async fn show(session: Session, args: &ArgMatches) -> Result<()> {
    let head = match args.get_one::<Generation>("generation") {
        Some(generation) => accepted(&session, *generation).await?,
        None => session.in_force(None).await?.head,
    };
    let configuration = session.content(&head).await?;
    files::print(format_args!(
        "// generation {} by {} at {}, replaced generation {}, operation {}\n",
        head.generation,
        head.author,
        format_time(head.time_ms),
        head.parent,
        head.operation
    ));
    match args.get_one::<String>("part").map(String::as_str) {
        Some("inventory") => print_json(&configuration.inventory),
        Some("rules") => print_json(&configuration.rules),
        _ => print_json(&configuration),
    }
    Ok(())
}

/// Reads the head of an accepted generation.
pub async fn accepted(session: &Session, generation: Generation) -> Result<Head> {
    let found = session.client.history_entry(generation).await;
    found
        .map_err(|report| session.unreadable(&report))?
        .ok_or_else(|| {
            eprintln!("error: generation {generation} does not exist; nothing was changed");
            exit::FAULTS
        })
}

fn print_json(value: &impl Serialize) {
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    files::print(format_args!("{text}\n"));
}
