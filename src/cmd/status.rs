//! `status`: reads the state of every entry VM.

mod report;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgGroup, ArgMatches, Command, value_parser};
use config::{Configuration, EntryVm, EntryVmId, Inventory};
use entry::operator::Status;
use http::Method;
use http::client::{self, ClientOptions};

use super::operator::{self, Result, Session};
use super::{exit, files};
use report::Report;

/// Longest status answer in bytes; about 100 bytes per server of the failure domain are usual.
const MAX_ANSWER: u64 = 4 << 20;

/// Definition of the command.
pub fn command() -> Command {
    let command = Command::new("status")
        .about("Show for every entry VM whether it answers and has the newest configuration")
        .after_help(
            "The entry VMs and the newest generation are those of the configuration in force, read\n\
             from the platform. With --inventory, for times when the platform cannot be reached, the\n\
             entry VMs are those of the file and the newest generation is the highest one answered.\n\n\
             Exit codes: 0 all entry VMs answer and have the newest generation, 1 no configuration or\n\
             errors in the file, 2 usage, 4 platform unreachable, 5 file unreadable, 8 an entry VM\n\
             does not answer or does not have the newest generation",
        )
        .arg(
            Arg::new("inventory")
                .long("inventory")
                .value_name("FILE")
                .help("Inventory that names the entry VMs")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("vm-timeout-ms")
                .long("vm-timeout-ms")
                .value_name("MS")
                .help("Time for the answer of one entry VM")
                .default_value("2000")
                .value_parser(value_parser!(u64).range(1..=600_000)),
        )
        .arg(
            Arg::new("at-once")
                .long("at-once")
                .value_name("N")
                .help("Entry VMs asked at the same time")
                .default_value("32")
                .value_parser(value_parser!(u16).range(1..=1024)),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .help("Print one JSON document")
                .action(ArgAction::SetTrue),
        );
    operator::with_optional_platform(command).group(
        ArgGroup::new("source")
            .args(["platform", "inventory"])
            .required(true),
    )
}

/// Runs the command.
pub fn run(args: &ArgMatches) -> ExitCode {
    let from_file = match args
        .get_one::<PathBuf>("inventory")
        .map(|path| files::read_inventory(path))
    {
        Some(Ok(inventory)) => Some(inventory),
        Some(Err(code)) => return code.into(),
        None => None,
    };
    operator::run(args, |session| status(session, from_file, args))
}

async fn status(session: Session, from_file: Option<Inventory>, args: &ArgMatches) -> Result<()> {
    let (configuration, newest) = if let Some(inventory) = from_file {
        let configuration = Configuration {
            inventory,
            ..Configuration::default()
        };
        (configuration, None)
    } else {
        let in_force = session.in_force(None).await?;
        (in_force.configuration, Some(in_force.head.generation))
    };
    let answers = ask_all(&configuration.inventory.entry_vms, args).await;
    let report = Report::new(&configuration, newest, answers);
    if args.get_flag("json") {
        let text = serde_json::to_string_pretty(&report).unwrap_or_default();
        files::print(format_args!("{text}\n"));
    } else {
        files::print(format_args!("{report}"));
    }
    if report.ok { Ok(()) } else { Err(exit::BEHIND) }
}

/// Answer of an entry VM, or why there is none.
pub type Answer = std::result::Result<Status, String>;

/// Asks all entry VMs, a bounded number of them at the same time.
async fn ask_all(vms: &[EntryVm], args: &ArgMatches) -> BTreeMap<EntryVmId, Answer> {
    let limit = args.get_one::<u64>("vm-timeout-ms").copied();
    let limit = Duration::from_millis(limit.unwrap_or(2_000));
    let at_once = args.get_one::<u16>("at-once").copied().unwrap_or(32);
    let (tx, rx) = async_channel::unbounded();
    for vm in vms {
        // The channel is unbounded and open.
        let _ = tx.try_send((vm.id.clone(), vm.operator_address));
    }
    drop(tx);
    let mut workers = Vec::new();
    for _ in 0..usize::from(at_once).min(vms.len()) {
        let rx = rx.clone();
        workers.push(runtime::spawn(async move {
            let mut answers = Vec::new();
            while let Ok((id, address)) = rx.recv().await {
                let answer = Box::pin(ask(address, limit)).await;
                answers.push((id, answer));
            }
            answers
        }));
    }
    let mut answers = BTreeMap::new();
    for worker in workers {
        answers.extend(worker.await);
    }
    answers
}

async fn ask(address: SocketAddr, limit: Duration) -> Answer {
    let options = ClientOptions {
        connect_timeout: limit,
        timeout: limit,
        max_body: MAX_ANSWER,
    };
    let exchange = async {
        let req = client::build_request(Method::Get, "/status")?;
        let mut res = client::request(address, req, &options).await?;
        client::parse_json(&mut res).await
    };
    match runtime::timeout(limit, Box::pin(exchange)).await {
        Some(Ok(status)) => Ok(status),
        Some(Err(report)) => Err(report.current_context().to_string()),
        None => Err(format!("no answer within {} ms", limit.as_millis())),
    }
}
