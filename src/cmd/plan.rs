//! `plan`: shows the effect of a change to inventory and rules.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use clap::{Arg, ArgGroup, ArgMatches, Command, value_parser};
use config::Configuration;

use super::exit::{self, Code};
use super::files;
use super::session::{self, Session};

pub fn command() -> Command {
    let file = |id: &'static str, help: &'static str| {
        Arg::new(id)
            .long(id)
            .value_name("FILE")
            .help(help)
            .value_parser(value_parser!(PathBuf))
    };
    let command = Command::new("plan")
        .about("Show the effect of a change to inventory and rules without applying it")
        .after_help(
            "Compares the change with the configuration in force if --platform is given, otherwise with\n\
             the two --before files. With --platform, the time is the platform's, and shifts in the\n\
             rules are handled as by apply. Shares and slots are shown per service and failure domain.\n\n\
             Exit codes: 0 within all caps, 1 errors in a file or no configuration in force, 2 usage,\n\
             4 platform unreachable, 5 file unreadable, 6 a cap would be exceeded",
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
    session::with_optional_platform_args(command).group(
        ArgGroup::new("before")
            .args(["platform", "before-inventory"])
            .required(true),
    )
}

pub fn run(args: &ArgMatches) -> ExitCode {
    let after = files::read_configuration(args, "inventory", "rules");
    if args.contains_id("platform") {
        return match after {
            Ok(after) => session::run(args, |session| plan_from_in_force(session, after)),
            Err(code) => code.into(),
        };
    }
    let before = files::read_configuration(args, "before-inventory", "before-rules");
    let now_ms = args
        .get_one::<u64>("at")
        .copied()
        .unwrap_or_else(system_time_ms);
    match (before, after) {
        (Ok(before), Ok(after)) => print_plan(&before, &after, now_ms).into(),
        (Err(exit::FILE_UNREADABLE), _) | (_, Err(exit::FILE_UNREADABLE)) => {
            exit::FILE_UNREADABLE.into()
        }
        (Err(code), _) | (_, Err(code)) => code.into(),
    }
}

/// Prints the plan of a change from the configuration in force.
async fn plan_from_in_force(session: Session, mut after: Configuration) -> session::Result<()> {
    let in_force = session.in_force(None).await?;
    config::rebase_shifts(&in_force.configuration, &mut after.rules, in_force.now_ms);
    files::print(format_args!(
        "compared with generation {} in force\n",
        in_force.head.generation
    ));
    match print_plan(&in_force.configuration, &after, in_force.now_ms) {
        exit::SUCCESS => Ok(()),
        code => Err(code),
    }
}

/// Prints the plan of a change that takes effect at `now_ms`.
pub fn print_plan(before: &Configuration, after: &Configuration, now_ms: u64) -> Code {
    let plan = config::plan(before, after, now_ms);
    files::print(format_args!("{plan}"));
    if plan.exceeds_cap() {
        exit::CAP_EXCEEDED
    } else {
        exit::SUCCESS
    }
}

/// Returns the system time, which is used without a platform.
fn system_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}
