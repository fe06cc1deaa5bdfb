//! `apply`: makes an inventory and rules the configuration in force.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use config::{Configuration, Generation};

use super::operator::{self, InForce, Result, Session};
use super::{exit, files};

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
    let command = Command::new("apply")
        .about("Make an inventory and rules the configuration in force")
        .after_help(
            "The change is refused if another generation than the base is in force, or if it would\n\
             move more traffic than its cap allows.\n\n\
             Exit codes: 0 accepted, 1 errors in a file, 2 usage, 3 conflict, 4 platform unreachable\n\
             and without effect, 5 file unreadable, 6 a cap would be passed, 7 outcome unknown",
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
                .help("Start planned shifts for services that would pass their cap")
                .action(ArgAction::SetTrue),
        );
    operator::with_change(command)
}

/// Runs the command.
pub fn run(args: &ArgMatches) -> ExitCode {
    match files::read_configuration(args, "inventory", "rules") {
        Ok(configuration) => operator::run(args, |session| apply(session, configuration, args)),
        Err(code) => code.into(),
    }
}

async fn apply(session: Session, mut after: Configuration, args: &ArgMatches) -> Result<()> {
    let base = *args.get_one::<Generation>("base").ok_or(exit::USAGE)?;
    if base > 0 {
        let in_force = session.in_force(Some(base)).await?;
        config::rebase_shifts(&in_force.configuration, &mut after.rules, in_force.now_ms);
        if args.get_flag("ease") {
            ease(&in_force, &mut after);
        }
        session.check_caps(&in_force, &after)?;
    }
    session.commit(base, &after, args).await
}

/// Starts planned shifts where a change of slots would pass a cap, and names the services.
pub fn ease(in_force: &InForce, after: &mut Configuration) {
    for service in config::add_capped_shifts(&in_force.configuration, after, in_force.now_ms) {
        files::print(format_args!(
            "service {service} moves by a planned shift, because its cap would be passed\n"
        ));
    }
}
