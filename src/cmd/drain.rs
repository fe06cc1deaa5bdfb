//! `drain`: takes a server, entry VM, failure domain or region out of service without aborting
//! requests.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};
use config::{Configuration, Resource, Shift, ShiftReason};

use super::session::{self, InForce, Result, Session};
use super::{apply, exit, files};

/// Kinds of resources on the command line.
const RESOURCE_KINDS: [&str; 4] = ["server", "entry-vm", "domain", "region"];

/// Shares that differ by less count as equal, because shares are rounded when they are written.
const SHARE_TOLERANCE: f64 = 1e-6;

pub fn command() -> Command {
    let command = Command::new("drain")
        .about("Assign no new work to a server, entry VM, failure domain or region");
    with_resource_args(command)
}

/// Adds the arguments shared by `drain` and `undrain`.
pub fn with_resource_args(command: Command) -> Command {
    let command = command
        .after_help(
            "Traffic whose immediate move would exceed its cap moves by a planned shift.\n\n\
             Exit codes: 0 accepted or nothing to do, 1 no such resource, 2 usage, 3 conflict,\n\
             4 platform unreachable and nothing changed, 6 a cap would be exceeded, 7 outcome unknown",
        )
        .arg(
            Arg::new("kind")
                .value_name("KIND")
                .help("Kind of resource")
                .required(true)
                .value_parser(RESOURCE_KINDS),
        )
        .arg(
            Arg::new("name")
                .value_name("NAME")
                .help("Name of the resource in the inventory")
                .required(true),
        );
    session::with_base_arg(session::with_change_args(command))
}

pub fn run(args: &ArgMatches) -> ExitCode {
    session::run(args, |session| update_drain(session, args, true))
}

/// Starts or ends a drain.
pub async fn update_drain(session: Session, args: &ArgMatches, starting: bool) -> Result<()> {
    let resource = resource(args)?;
    let in_force = session.in_force(args.get_one("base").copied()).await?;
    let mut after = in_force.configuration.clone();
    let Configuration { inventory, rules } = &mut after;
    let edit = if starting {
        config::drain
    } else {
        config::undrain
    };
    let changed = edit(rules, inventory, &resource).map_err(|report| {
        eprintln!("error: {}; nothing was changed", report.current_context());
        exit::FAILURE
    })?;
    if !changed {
        let state = if starting {
            "already drained"
        } else {
            "not drained"
        };
        files::print(format_args!("{resource} is {state}; nothing was changed\n"));
        return Ok(());
    }
    retarget_slot_shifts(&in_force, &mut after);
    apply::add_capped_shifts(&in_force, &mut after);
    session.check_caps(&in_force, &after)?;
    for (service, domain, share) in shifts_to_drained_domains(&after) {
        eprintln!(
            "warning: the shift of service {service} moves a share of {share} to drained failure \
             domain {domain}; change it with `rosemaryglade shift {service} ...`"
        );
    }
    session.commit(in_force.head.generation, &after, args).await
}

fn resource(args: &ArgMatches) -> Result<Resource> {
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

/// Retargets shifts to the slots after the change if their target shares were proportional to the
/// slots before it, like those that an earlier drain added. Otherwise an undrained failure domain
/// would get no traffic. Shifts to other shares were requested by an operator and are kept.
fn retarget_slot_shifts(in_force: &InForce, after: &mut Configuration) {
    let before = &in_force.configuration;
    for (service, shift) in &before.rules.shifts {
        let old = config::slot_shares(before, service);
        let to = config::slot_shares(after, service);
        let follows_slots = config::moved_share(&shift.to, &old) < SHARE_TOLERANCE;
        if !follows_slots
            || config::moved_share(&old, &to) < SHARE_TOLERANCE
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

/// Returns the shifts that move a share of traffic to a drained failure domain.
fn shifts_to_drained_domains(after: &Configuration) -> Vec<(&str, &str, f64)> {
    let shifts = after.rules.shifts.iter();
    shifts
        .flat_map(|(service, shift)| shift.to.iter().map(move |(d, s)| (&**service, &**d, *s)))
        .filter(|(_, domain, share)| *share > 0.0 && config::domain_is_drained(after, domain))
        .collect()
}
