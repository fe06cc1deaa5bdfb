//! `revert-to`: applies the configuration of an earlier generation as a new generation.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use config::{Configuration, Generation, Shares, Shift, ShiftReason};

use super::session::{self, Result, Session};
use super::{exit, files, show};

pub fn command() -> Command {
    let command = Command::new("revert-to")
        .about("Apply the configuration of an earlier generation as a new generation")
        .after_help(
            "Traffic whose immediate move would exceed its cap moves by a planned shift, which starts\n\
             from the shares in force.\n\n\
             Exit codes: 0 accepted, 1 generation missing or invalid, 2 usage, 3 conflict,\n\
             4 platform unreachable and nothing changed, 6 a cap would be exceeded, 7 outcome unknown",
        )
        .arg(
            Arg::new("generation")
                .value_name("N")
                .help("Generation to revert to")
                .required(true)
                .value_parser(value_parser!(u64).range(1..)),
        );
    session::with_base_arg(session::with_change_args(command))
}

pub fn run(args: &ArgMatches) -> ExitCode {
    session::run(args, |session| revert(session, args))
}

async fn revert(session: Session, args: &ArgMatches) -> Result<()> {
    let generation = *args
        .get_one::<Generation>("generation")
        .ok_or(exit::USAGE)?;
    let in_force = session.in_force(args.get_one("base").copied()).await?;
    let head = show::accepted_head(&session, generation).await?;
    let mut after = session.configuration(&head).await?;
    for service in add_reversal_shifts(&in_force.configuration, &mut after, in_force.now_ms) {
        files::print(format_args!(
            "service {service} moves by a planned shift, as a direct move would exceed its cap\n"
        ));
    }
    session.check_caps(&in_force, &after)?;
    session.commit(in_force.head.generation, &after, args).await
}

/// Adds or replaces the shift of each service that would exceed its cap by a planned shift from the
/// shares in force to the target shares of the earlier configuration. Returns these services.
fn add_reversal_shifts(
    before: &Configuration,
    after: &mut Configuration,
    now_ms: u64,
) -> Vec<Box<str>> {
    let mut shifted = Vec::new();
    for service in config::plan(before, after, now_ms).services {
        if !service.exceeds_cap() {
            continue;
        }
        let name = service.service;
        let slots = config::slot_shares(after, &name);
        let to = after
            .rules
            .shifts
            .get(&name)
            .map_or_else(|| slots.clone(), |s| s.to.clone());
        let mut from: Shares = config::shares(before, &name, now_ms);
        from.retain(|domain, _| slots.contains_key(domain));
        let sum: f64 = from.values().sum();
        if sum > 0.0 {
            for share in from.values_mut() {
                *share /= sum;
            }
            let reason = ShiftReason::Planned;
            let shift = Shift {
                from,
                to,
                start_ms: now_ms,
                reason,
            };
            after.rules.shifts.insert(name.clone(), shift);
            shifted.push(name);
        }
    }
    shifted
}
