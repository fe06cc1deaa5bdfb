//! `apply`: puts an inventory and rules into force as the new configuration.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use config::{Configuration, Generation};

use super::session::{self, InForce, Result, Session};
use super::{exit, files};

pub fn command() -> Command {
    let file = |id: &'static str, help: &'static str| {
        Arg::new(id)
            .long(id)
            .value_name("FILE")
            .help(help)
            .required(true)
            .value_parser(value_parser!(PathBuf))
    };
    let command = Command::new("apply")
        .about("Put an inventory and rules into force as the new configuration")
        .after_help(
            "The change is rejected if the base is not the generation in force, or if it would move\n\
             more traffic than its cap allows.\n\n\
             Exit codes: 0 accepted, 1 errors in a file, 2 usage, 3 conflict, 4 platform unreachable\n\
             and nothing changed, 5 file unreadable, 6 a cap would be exceeded, 7 outcome unknown",
        )
        .arg(file("inventory", "Inventory"))
        .arg(file("rules", "Rules"))
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("GENERATION")
                .help("Generation that the files are based on; 0 for the first configuration")
                .required(true)
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("ease")
                .long("ease")
                .help("Start planned shifts for services that would exceed their cap")
                .action(ArgAction::SetTrue),
        );
    session::with_change_args(command)
}

pub fn run(args: &ArgMatches) -> ExitCode {
    match files::read_configuration(args, "inventory", "rules") {
        Ok(configuration) => session::run(args, |session| apply(session, configuration, args)),
        Err(code) => code.into(),
    }
}

async fn apply(session: Session, mut after: Configuration, args: &ArgMatches) -> Result<()> {
    let base = *args.get_one::<Generation>("base").ok_or(exit::USAGE)?;
    if base > 0 {
        let in_force = session.in_force(Some(base)).await?;
        config::rebase_shifts(&in_force.configuration, &mut after.rules, in_force.now_ms);
        if args.get_flag("ease") {
            add_capped_shifts(&in_force, &mut after);
        }
        session.check_caps(&in_force, &after)?;
    }
    session.commit(base, &after, args).await
}

/// Adds planned shifts for services that would exceed their cap because their slots change, and
/// prints these services.
pub fn add_capped_shifts(in_force: &InForce, after: &mut Configuration) {
    for service in config::add_capped_shifts(&in_force.configuration, after, in_force.now_ms) {
        files::print(format_args!(
            "service {service} moves by a planned shift, as a direct move would exceed its cap\n"
        ));
    }
}
