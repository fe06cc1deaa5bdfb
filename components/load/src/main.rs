//! `rosemaryglade-load`: named experiments and capacity measurements.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use load::{capacity, drain, experiment, live, shift};

/// Name of the shift experiment, which has its own report type.
const SHIFT: &str = "shift";
/// Name of the drain experiment, which runs over real sockets and takes about 90 s.
const DRAIN: &str = "drain";

fn main() -> ExitCode {
    env_logger::init();
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("experiment", args)) => run_experiment(args),
        Some(("capacity", args)) => run_capacity(args),
        _ => ExitCode::FAILURE,
    }
}

fn command() -> Command {
    let names: Vec<&str> = experiment::ALL
        .iter()
        .map(|(name, _)| *name)
        .chain([SHIFT, DRAIN, live::NAME])
        .collect();
    let seed = Arg::new("seed")
        .long("seed")
        .value_parser(value_parser!(u64))
        .default_value("1")
        .help("Seed of all random numbers");
    let experiment = Command::new("experiment")
        .about("Runs a named experiment; fails if a goal is missed")
        .arg(Arg::new("NAME").required(true).value_parser(names))
        .arg(seed.clone());
    let capacity = Command::new("capacity")
        .about("Prints the measurements that docs/CAPACITY.md is calculated from")
        .arg(seed)
        .arg(
            Arg::new("part")
                .long("part")
                .value_parser(capacity::PARTS)
                .help("Measures only this part"),
        );
    Command::new("rosemaryglade-load")
        .about("Experiments and capacity measurements")
        .subcommand_required(true)
        .subcommand(experiment)
        .subcommand(capacity)
}

fn seed_of(args: &ArgMatches) -> u64 {
    args.get_one::<u64>("seed").copied().unwrap_or(1)
}

fn run_experiment(args: &ArgMatches) -> ExitCode {
    let name = args.get_one::<String>("NAME").map_or("", String::as_str);
    let seed = seed_of(args);
    if name == SHIFT {
        let report = shift::run(seed);
        println!("{report}");
        return ExitCode::from(u8::from(!report.met()));
    }
    if let Some(run) = socket_experiment(name) {
        let report = run(seed);
        println!("{report}");
        return ExitCode::from(u8::from(!report.missed().is_empty()));
    }
    let Some((_, run)) = experiment::ALL.iter().find(|(n, _)| *n == name) else {
        return ExitCode::FAILURE;
    };
    let report = run(seed);
    println!("{report}");
    ExitCode::from(u8::from(!report.missed().is_empty()))
}

/// Returns the experiment of this name if it runs whole entry VMs over real sockets.
fn socket_experiment(name: &str) -> Option<fn(u64) -> experiment::Report> {
    match name {
        DRAIN => Some(drain::run),
        live::NAME => Some(live::run),
        _ => None,
    }
}

fn run_capacity(args: &ArgMatches) -> ExitCode {
    let part = args.get_one::<String>("part").map(String::as_str);
    match capacity::run(seed_of(args), part, &mut std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("capacity: {e}");
            ExitCode::FAILURE
        }
    }
}
