//! `shift`: moves a service's traffic between failure domains.

use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command};
use config::{Shares, ShiftReason, shift_end_ms};

use super::session::{self, Result, Session};
use super::{exit, files};

pub fn command() -> Command {
    let command = Command::new("shift")
        .about("Move a service's traffic between failure domains under its cap")
        .after_help(
            "The shift starts from the shares in force, even during another shift, and moves at most\n\
             shift_cap_per_minute, or failover_cap_per_minute with --failover. Failure domains that\n\
             are not given get no traffic; the shares must add up to 1 (or 100%).\n\n\
             Example: rosemaryglade shift werkdienst donau-1=70% alpen-1=30% --author anna ...\n\n\
             Exit codes: 0 accepted, 1 no such service or domain, or invalid shares, 2 usage,\n\
             3 conflict, 4 platform unreachable and nothing changed, 6 a cap would be exceeded,\n\
             7 outcome unknown",
        )
        .arg(
            Arg::new("service")
                .value_name("SERVICE")
                .help("Service whose traffic is moved")
                .required(true),
        )
        .arg(
            Arg::new("share")
                .value_name("DOMAIN=SHARE")
                .help("Target share of a failure domain, such as 0.3 or 30%")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .value_parser(parse_share),
        )
        .arg(
            Arg::new("failover")
                .long("failover")
                .help("Move traffic away from failed entry VMs or servers under the failover cap")
                .action(ArgAction::SetTrue),
        );
    session::with_base_arg(session::with_change_args(command))
}

pub fn run(args: &ArgMatches) -> ExitCode {
    session::run(args, |session| shift(session, args))
}

async fn shift(session: Session, args: &ArgMatches) -> Result<()> {
    let service = args.get_one::<String>("service").ok_or(exit::USAGE)?;
    let to = target_shares(args)?;
    let reason = if args.get_flag("failover") {
        ShiftReason::Failover
    } else {
        ShiftReason::Planned
    };
    let in_force = session.in_force(args.get_one("base").copied()).await?;
    let before = &in_force.configuration;
    let shift = config::shift_to(before, service, &to, in_force.now_ms, reason);
    let shift = shift.map_err(|report| {
        eprintln!("error: {}; nothing was changed", report.current_context());
        exit::FAILURE
    })?;
    let end_ms = shift_end_ms(&shift, config::cap_per_minute(&before.rules, reason));
    let mut after = before.clone();
    after.rules.shifts.insert(service.as_str().into(), shift);
    session.check_caps(&in_force, &after)?;
    session
        .commit(in_force.head.generation, &after, args)
        .await?;
    match end_ms {
        Some(end_ms) => {
            files::print(format_args!(
                "complete at {}\n",
                platform::format_time(end_ms)
            ));
        }
        None => eprintln!("warning: the cap is 0, so no traffic will move"),
    }
    Ok(())
}

fn target_shares(args: &ArgMatches) -> Result<Shares> {
    let mut shares = Shares::new();
    for (domain, share) in args
        .get_many::<(Box<str>, f64)>("share")
        .unwrap_or_default()
    {
        if shares.insert(domain.clone(), *share).is_some() {
            eprintln!("error: failure domain {domain} is given twice; nothing was changed");
            return Err(exit::USAGE);
        }
    }
    Ok(shares)
}

fn parse_share(text: &str) -> std::result::Result<(Box<str>, f64), String> {
    let (domain, share) = text
        .split_once('=')
        .ok_or("expected DOMAIN=SHARE, such as donau-1=30%")?;
    let (number, full_share) = match share.strip_suffix('%') {
        Some(percent) => (percent, 100.0),
        None => (share, 1.0),
    };
    let share: f64 = number
        .trim()
        .parse()
        .map_err(|_| format!("{share:?} is not a number"))?;
    if !(0.0..=full_share).contains(&share) {
        return Err("a share must be between 0 and 1, or between 0% and 100%".to_owned());
    }
    Ok((domain.into(), share / full_share))
}
