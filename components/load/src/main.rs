//! `rosemaryglade-load`: named experiments.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use load::experiment;

fn main() -> ExitCode {
    env_logger::init();
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("experiment", args)) => run_experiment(args),
        _ => ExitCode::FAILURE,
    }
}

fn command() -> Command {
    let names = experiment::ALL.map(|(name, _)| name);
    let experiment = Command::new("experiment")
        .about("Runs a named experiment; fails if a goal is missed")
        .arg(Arg::new("NAME").required(true).value_parser(names))
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .default_value("1"),
        );
    Command::new("rosemaryglade-load")
        .about("Load generation and experiments")
        .subcommand_required(true)
        .subcommand(experiment)
}

fn run_experiment(args: &ArgMatches) -> ExitCode {
    let name = args.get_one::<String>("NAME").map_or("", String::as_str);
    let seed = args.get_one::<u64>("seed").copied().unwrap_or(1);
    let Some((_, run)) = experiment::ALL.iter().find(|(n, _)| *n == name) else {
        return ExitCode::FAILURE;
    };
    let report = run(seed);
    println!("{report}");
    ExitCode::from(u8::from(!report.missed().is_empty()))
}
