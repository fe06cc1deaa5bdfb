//! `status`: queries the state of all entry VMs.

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

use super::session::{self, Result, Session};
use super::{exit, files};
use report::Report;

/// A response has about 100 bytes per server of the failure domain.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;

pub fn command() -> Command {
    let command = Command::new("status")
        .about("Show for each entry VM whether it responds and has the newest configuration")
        .after_help(
            "The entry VMs and the newest generation are those of the configuration in force, read\n\
             from the platform. With --inventory, for use when the platform is unreachable, the entry\n\
             VMs are those of the file, and the newest generation is the highest that one reports.\n\n\
             Exit codes: 0 all entry VMs respond and have the newest generation, 1 no configuration\n\
             or errors in the file, 2 usage, 4 platform unreachable, 5 file unreadable, 8 an entry VM\n\
             does not respond or does not have the newest generation",
        )
        .arg(
            Arg::new("inventory")
                .long("inventory")
                .value_name("FILE")
                .help("Inventory with the entry VMs")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("vm-timeout-ms")
                .long("vm-timeout-ms")
                .value_name("MS")
                .help("Timeout of the request to one entry VM")
                .default_value("2000")
                .value_parser(value_parser!(u64).range(1..=600_000)),
        )
        .arg(
            Arg::new("at-once")
                .long("at-once")
                .value_name("N")
                .help("Number of entry VMs queried at the same time")
                .default_value("32")
                .value_parser(value_parser!(u16).range(1..=1024)),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .help("Print one JSON document")
                .action(ArgAction::SetTrue),
        );
    session::with_optional_platform_args(command).group(
        ArgGroup::new("source")
            .args(["platform", "inventory"])
            .required(true),
    )
}

pub fn run(args: &ArgMatches) -> ExitCode {
    let file_inventory = match args
        .get_one::<PathBuf>("inventory")
        .map(|path| files::read_inventory(path))
    {
        Some(Ok(inventory)) => Some(inventory),
        Some(Err(code)) => return code.into(),
        None => None,
    };
    session::run(args, |session| status(session, file_inventory, args))
}

async fn status(
    session: Session,
    file_inventory: Option<Inventory>,
    args: &ArgMatches,
) -> Result<()> {
    let (configuration, newest) = if let Some(inventory) = file_inventory {
        let configuration = Configuration {
            inventory,
            ..Configuration::default()
        };
        (configuration, None)
    } else {
        let in_force = session.in_force(None).await?;
        (in_force.configuration, Some(in_force.head.generation))
    };
    let results = query_all(&configuration.inventory.entry_vms, args).await;
    let report = Report::new(&configuration, newest, results);
    if args.get_flag("json") {
        let text = serde_json::to_string_pretty(&report).unwrap_or_default();
        files::print(format_args!("{text}\n"));
    } else {
        files::print(format_args!("{report}"));
    }
    if report.ok {
        Ok(())
    } else {
        Err(exit::OUTDATED)
    }
}

/// Status of an entry VM, or why it could not be read.
pub type StatusResult = std::result::Result<Status, String>;

/// Queries all entry VMs, at most `--at-once` of them at the same time.
async fn query_all(vms: &[EntryVm], args: &ArgMatches) -> BTreeMap<EntryVmId, StatusResult> {
    let vm_timeout = args.get_one::<u64>("vm-timeout-ms").copied();
    let vm_timeout = Duration::from_millis(vm_timeout.unwrap_or(2_000));
    let concurrency = args.get_one::<u16>("at-once").copied().unwrap_or(32);
    let (tx, rx) = async_channel::unbounded();
    for vm in vms {
        // Cannot fail: the channel is unbounded and open.
        let _ = tx.try_send((vm.id.clone(), vm.operator_address));
    }
    drop(tx);
    let mut workers = Vec::new();
    for _ in 0..usize::from(concurrency).min(vms.len()) {
        let rx = rx.clone();
        workers.push(runtime::spawn(async move {
            let mut results = Vec::new();
            while let Ok((id, address)) = rx.recv().await {
                let result = Box::pin(query(address, vm_timeout)).await;
                results.push((id, result));
            }
            results
        }));
    }
    let mut results = BTreeMap::new();
    for worker in workers {
        results.extend(worker.await);
    }
    results
}

async fn query(address: SocketAddr, vm_timeout: Duration) -> StatusResult {
    let options = ClientOptions {
        connect_timeout: vm_timeout,
        timeout: vm_timeout,
        max_body: MAX_RESPONSE_BYTES,
        ..ClientOptions::default()
    };
    let exchange = async {
        let request = client::build_request(Method::Get, "/status")?;
        let mut response = client::request(address, request, &options).await?;
        client::parse_json(&mut response).await
    };
    match runtime::timeout(vm_timeout, Box::pin(exchange)).await {
        Some(Ok(status)) => Ok(status),
        Some(Err(report)) => Err(report.current_context().to_string()),
        None => Err(format!("no response within {} ms", vm_timeout.as_millis())),
    }
}
