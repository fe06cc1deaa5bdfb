//! `drain`: takes a machine or zone out of service without aborting requests.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};
use config::{Configuration, Resource, Shift, ShiftReason};

use super::operator::{self, InForce, Result, Session};
use super::{apply, exit, files};

/// Kinds of objects as named on the command line.
const KINDS: [&str; 4] = ["server", "entry-vm", "domain", "region"];

/// Shares that differ by less are the same; shares are rounded when they are written.
const SAME_SHARES: f64 = 1e-6;

/// Definition of the command.
pub fn command() -> Command {
    let command = Command::new("drain")
        .about("Give a server, entry VM, failure domain or region no new work");
    with_target(command)
}

/// Adds the arguments that the drain and undrain commands share.
pub fn with_target(command: Command) -> Command {
    let command = command
        .after_help(
            "Traffic that would move faster than its cap moves by a planned shift.\n\n\
             Exit codes: 0 accepted or nothing to do, 1 no such object, 2 usage, 3 conflict,\n\
             4 platform unreachable and without effect, 6 a cap would be passed, 7 outcome unknown",
        )
        .arg(
            Arg::new("kind")
                .value_name("KIND")
                .help("Kind of object")
                .required(true)
                .value_parser(KINDS),
        )
        .arg(
            Arg::new("name")
                .value_name("NAME")
                .help("Name in the inventory")
                .required(true),
        );
    operator::with_base(operator::with_change(command))
}

/// Runs the command.
pub fn run(args: &ArgMatches) -> ExitCode {
    operator::run(args, |session| change(session, args, true))
}

/// Starts or ends a drain.
pub async fn change(session: Session, args: &ArgMatches, starts: bool) -> Result<()> {
    let target = target(args)?;
    let in_force = session.in_force(args.get_one("base").copied()).await?;
    let mut after = in_force.configuration.clone();
    let Configuration { inventory, rules } = &mut after;
    let edit = if starts {
        config::drain
    } else {
        config::undrain
    };
    let changed = edit(rules, inventory, &target).map_err(|report| {
        eprintln!("error: {}; nothing was changed", report.current_context());
        exit::FAULTS
    })?;
    if !changed {
        let state = if starts {
            "drained already"
        } else {
            "not drained"
        };
        files::print(format_args!("{target} is {state}; nothing was changed\n"));
        return Ok(());
    }
    follow_slots(&in_force, &mut after);
    apply::ease(&in_force, &mut after);
    session.check_caps(&in_force, &after)?;
    for (service, domain, share) in shifted_to_drained(&after) {
        eprintln!(
            "warning: the shift of service {service} gives drained failure domain {domain} a share \
             of {share}; move it with `rosemaryglade shift {service} ...`"
        );
    }
    session.commit(in_force.head.generation, &after, args).await
}

fn target(args: &ArgMatches) -> Result<Resource> {
    let name = args
        .get_one::<String>("name")
        .ok_or(exit::USAGE)?
        .as_str()
        .into();
    match args.get_one::<String>("kind").map(String::as_str) {
        Some("server") => Ok(Resource::Server(name)),
        Some("entry-vm") => Ok(Resource::EntryVm(name)),
        Some("domain") => Ok(Resource::Domain(name)),
        Some("region") => Ok(Resource::Region(name)),
        _ => Err(exit::USAGE),
    }
}

/// Redirects shifts that end with shares in proportion to the slots, as an earlier drain leaves
/// them, to the slots after the change. Without this an undrained failure domain would get no
/// traffic again. A shift to other shares is the operator's choice and stays.
fn follow_slots(in_force: &InForce, after: &mut Configuration) {
    let before = &in_force.configuration;
    for (service, shift) in &before.rules.shifts {
        let old = config::slot_shares(before, service);
        let to = config::slot_shares(after, service);
        let follows = config::moved_share(&shift.to, &old) < SAME_SHARES;
        if !follows
            || config::moved_share(&old, &to) < SAME_SHARES
            || to.values().all(|s| *s == 0.0)
        {
            continue;
        }
        let shift = Shift {
            from: config::shares(before, service, in_force.now_ms),
            to,
            start_ms: in_force.now_ms,
            reason: ShiftReason::Planned,
        };
        after.rules.shifts.insert(service.clone(), shift);
    }
}

/// Shifts that end with a share in a drained failure domain.
fn shifted_to_drained(after: &Configuration) -> Vec<(&str, &str, f64)> {
    let shifts = after.rules.shifts.iter();
    shifts
        .flat_map(|(service, shift)| shift.to.iter().map(move |(d, s)| (&**service, &**d, *s)))
        .filter(|(_, domain, share)| *share > 0.0 && config::domain_is_drained(after, domain))
        .collect()
}
