//! `plan`: shows what a change of inventory and rules does.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use clap::{Arg, ArgGroup, ArgMatches, Command, value_parser};
use config::Configuration;

use super::exit::{self, Code};
use super::files;
use super::operator::{self, Session};

/// Definition of the command.
pub fn command() -> Command {
    let file = |id: &'static str, help: &'static str| {
        Arg::new(id)
            .long(id)
            .value_name("FILE")
            .help(help)
            .value_parser(value_parser!(PathBuf))
    };
    let command = Command::new("plan")
        .about("Show what a change of inventory and rules does, without making it")
        .after_help(
            "The change starts from the configuration in force, with --platform, or from the two\n\
             --before files. With --platform, the time is the platform's, and shifts in the rules\n\
             are taken as apply takes them. Shares and slots are shown per service and failure\n\
             domain.\n\n\
             Exit codes: 0 within all caps, 1 errors in a file or no configuration in force, 2 usage,\n\
             4 platform unreachable, 5 file unreadable, 6 a cap would be passed",
        )
        .arg(file("inventory", "Inventory after the change").required(true))
        .arg(file("rules", "Rules after the change").required(true))
        .arg(
            file("before-inventory", "Inventory before the change")
                .requires("before-rules")
                .conflicts_with("platform"),
        )
        .arg(file("before-rules", "Rules before the change").requires("before-inventory"))
        .arg(
            Arg::new("at")
                .long("at")
                .value_name("MS")
                .help("Time of the change in milliseconds since the Unix epoch [default: now]")
                .conflicts_with("platform")
                .value_parser(value_parser!(u64)),
        );
    operator::with_optional_platform(command).group(
        ArgGroup::new("before")
            .args(["platform", "before-inventory"])
            .required(true),
    )
}

/// Runs the command.
pub fn run(args: &ArgMatches) -> ExitCode {
    let after = files::read_configuration(args, "inventory", "rules");
    if args.contains_id("platform") {
        return match after {
            Ok(after) => operator::run(args, |session| compare(session, after)),
            Err(code) => code.into(),
        };
    }
    let before = files::read_configuration(args, "before-inventory", "before-rules");
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

/// Compares a configuration with the one in force.
async fn compare(session: Session, mut after: Configuration) -> operator::Result<()> {
    let in_force = session.in_force(None).await?;
    config::rebase_shifts(&in_force.configuration, &mut after.rules, in_force.now_ms);
    files::print(format_args!(
        "compared with generation {} in force\n",
        in_force.head.generation
    ));
    match print(&in_force.configuration, &after, in_force.now_ms) {
        exit::FINE => Ok(()),
        code => Err(code),
    }
}

/// Prints the plan of a change that takes effect at a platform time.
pub fn print(before: &Configuration, after: &Configuration, now_ms: u64) -> Code {
    let plan = config::plan(before, after, now_ms);
    files::print(format_args!("{plan}"));
    if plan.exceeds_cap() {
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
