//! `show`: prints the configuration in force or an earlier one.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use config::Generation;
use platform::{Head, format_time};
use serde::Serialize;

use super::session::{self, Result, Session};
use super::{exit, files};

const PARTS: [&str; 2] = ["inventory", "rules"];

pub fn command() -> Command {
    let command = Command::new("show")
        .about("Print the configuration in force or that of a given generation")
        .after_help(
            "The output starts with a comment line. With --part it can be edited and passed to apply.\n\n\
             Exit codes: 0 printed, 1 generation missing or invalid, 2 usage, 4 platform\n\
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
    session::with_platform_args(command)
}

pub fn run(args: &ArgMatches) -> ExitCode {
    session::run(args, |session| show(session, args))
}

async fn show(session: Session, args: &ArgMatches) -> Result<()> {
    let head = match args.get_one::<Generation>("generation") {
        Some(generation) => accepted_head(&session, *generation).await?,
        None => session.in_force(None).await?.head,
    };
    let configuration = session.configuration(&head).await?;
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

/// Reads the head of an accepted generation from the history.
pub async fn accepted_head(session: &Session, generation: Generation) -> Result<Head> {
    let found = session.client.history_entry(generation).await;
    found
        .map_err(|report| session.report_read_error(&report))?
        .ok_or_else(|| {
            eprintln!("error: generation {generation} does not exist; nothing was changed");
            exit::FAILURE
        })
}

fn print_json(value: &impl Serialize) {
    let text = serde_json::to_string_pretty(value).unwrap_or_default();
    files::print(format_args!("{text}\n"));
}
