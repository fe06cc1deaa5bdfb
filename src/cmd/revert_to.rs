//! `revert-to`: makes the content of an earlier generation a new generation.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use config::{Configuration, Generation, Shares, Shift, ShiftReason};

use super::operator::{self, Result, Session};
use super::{exit, files, show};

/// Definition of the command.
pub fn command() -> Command {
    let command = Command::new("revert-to")
        .about("Make the content of an earlier generation a new generation")
        .after_help(
            "Traffic that would move faster than its cap moves by a planned shift instead, which\n\
             starts from the shares in force.\n\n\
             Exit codes: 0 accepted, 1 no such generation or not valid, 2 usage, 3 conflict,\n\
             4 platform unreachable and without effect, 6 a cap would be passed, 7 outcome unknown",
        )
        .arg(
            Arg::new("generation")
                .value_name("N")
                .help("Generation whose content is wanted")
                .required(true)
                .value_parser(value_parser!(u64).range(1..)),
        );
    operator::with_base(operator::with_change(command))
}

/// Runs the command.
pub fn run(args: &ArgMatches) -> ExitCode {
    operator::run(args, |session| revert(session, args))
}

async fn revert(session: Session, args: &ArgMatches) -> Result<()> {
    let wanted = *args
        .get_one::<Generation>("generation")
        .ok_or(exit::USAGE)?;
    let in_force = session.in_force(args.get_one("base").copied()).await?;
    let head = show::accepted(&session, wanted).await?;
    let mut after = session.content(&head).await?;
    for service in ease_reversal(&in_force.configuration, &mut after, in_force.now_ms) {
        files::print(format_args!(
            "service {service} moves by a planned shift, because its cap would be passed\n"
        ));
    }
    session.check_caps(&in_force, &after)?;
    session.commit(in_force.head.generation, &after, args).await
}

/// Replaces the shifts of services that would pass their cap by planned ones from the shares in
/// force to where the earlier configuration would have ended. Returns these services.
fn ease_reversal(before: &Configuration, after: &mut Configuration, now_ms: u64) -> Vec<Box<str>> {
    let mut eased = Vec::new();
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
            eased.push(name);
        }
    }
    eased
}
