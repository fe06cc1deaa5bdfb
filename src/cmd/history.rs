//! `history`: lists the accepted configurations.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use platform::format_time;

use super::files;
use super::session::{self, Result, Session};

pub fn command() -> Command {
    let command = Command::new("history")
        .about("List the accepted configurations, newest last")
        .after_help("Exit codes: 0 printed, 2 usage, 4 platform unreachable")
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_name("N")
                .help("Maximum number of generations")
                .default_value("20")
                .value_parser(value_parser!(u64).range(1..=100_000)),
        );
    session::with_platform_args(command)
}

pub fn run(args: &ArgMatches) -> ExitCode {
    session::run(args, |session| history(session, args))
}

async fn history(session: Session, args: &ArgMatches) -> Result<()> {
    let limit = args.get_one::<u64>("limit").copied().unwrap_or(20);
    let heads = session.client.history(limit as usize).await;
    for head in heads.map_err(|report| session.report_read_error(&report))? {
        files::print(format_args!(
            "generation={} time=\"{}\" author={:?} operation={} object={}\n",
            head.generation,
            format_time(head.time_ms),
            head.author,
            head.operation,
            head.object
        ));
    }
    Ok(())
}
