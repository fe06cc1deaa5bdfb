//! `settings`: writes the settings of an entry VM from the inventory.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use config::{EntryVm, Inventory, KeySettings, Settings};

use super::exit::{self, Code};
use super::files;

/// Entry VMs of other failure domains that are asked for the configuration.
const MAX_SEEDS: usize = 4;

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
    Command::new("settings")
        .about("Print the settings of an entry VM, from the inventory")
        .after_help(
            "The listeners are the addresses of the inventory. The seeds are one other entry VM of\n\
             the failure domain and one of each of the next three failure domains in the order of\n\
             the inventory. The output contains the keys: keep it readable for the process only.\n\n\
             The key file is the list of keys as in the settings, such as\n\
             [{ id: 1, secret: \"at least 16 characters\" }]; the first one signs.\n\n\
             Exit codes: 0 printed, 1 errors in a file or no such entry VM, 2 usage, 5 file unreadable",
        )
        .arg(file("inventory", "Inventory"))
        .arg(
            Arg::new("vm")
                .long("vm")
                .value_name("ID")
                .help("Name of the entry VM in the inventory")
                .required(true),
        )
        .arg(file("key-file", "Keys of the deployment, JSON with comments"))
        .arg(
            Arg::new("platform")
                .long("platform")
                .value_name("ADDR")
                .help("Address of the platform, IP:PORT; several are tried in turn")
                .required(true)
                .action(ArgAction::Append)
                .value_delimiter(',')
                .value_parser(value_parser!(SocketAddr)),
        )
}

/// Runs the command.
pub fn run(args: &ArgMatches) -> ExitCode {
    match settings(args) {
        Ok(settings) => {
            let text = serde_json::to_string_pretty(&settings).unwrap_or_default();
            files::print(format_args!("{text}\n"));
            exit::FINE.into()
        }
        Err(code) => code.into(),
    }
}

fn settings(args: &ArgMatches) -> Result<Settings, Code> {
    let path = |id: &str| args.get_one::<PathBuf>(id).ok_or(exit::USAGE);
    let inventory_path = path("inventory")?;
    let inventory = files::read_inventory(inventory_path)?;
    let id = args.get_one::<String>("vm").ok_or(exit::USAGE)?;
    let Some(vm) = inventory.entry_vms.iter().find(|vm| *vm.id == **id) else {
        let known: Vec<&str> = inventory.entry_vms.iter().map(|vm| &*vm.id).collect();
        eprintln!(
            "{}: error: entry VM \"{id}\" does not exist; use one of {}",
            inventory_path.display(),
            known.join(", ")
        );
        return Err(exit::FAULTS);
    };
    let platform = args.get_many("platform").unwrap_or_default();
    let settings = Settings {
        id: vm.id.clone(),
        domain: vm.domain.clone(),
        caller_address: vm.caller_address,
        peer_address: vm.peer_address,
        operator_address: vm.operator_address,
        platform: platform.copied().collect(),
        seeds: seeds(&inventory, vm),
        keys: keys(path("key-file")?)?,
        ..Settings::default()
    };
    check(&settings)?;
    Ok(settings)
}

/// Reads the keys; no message repeats a secret.
fn keys(path: &Path) -> Result<Vec<KeySettings>, Code> {
    let file = files::read(path)?;
    json5::from_str(&file.text).map_err(|error| {
        let line = error.position().map_or(1, |p| p.line + 1);
        eprintln!(
            "{}:{line}: error: no list of keys; write [{{ id: 1, secret: \"...\" }}]",
            file.name
        );
        exit::FAULTS
    })
}

/// Refuses settings that an entry VM would refuse.
fn check(settings: &Settings) -> Result<(), Code> {
    let text = serde_json::to_string(settings).unwrap_or_default();
    let name = format!("settings of {}", settings.id);
    config::parse_settings(&name, &text)
        .map(drop)
        .map_err(|report| {
            eprintln!("{}", report.current_context());
            exit::FAULTS
        })
}

/// Peer addresses that are asked for the configuration when the platform cannot be reached.
fn seeds(inventory: &Inventory, vm: &EntryVm) -> Vec<SocketAddr> {
    let own = inventory.domains.iter().position(|d| d.id == vm.domain);
    let from = own.unwrap_or(0);
    let domains = inventory.domains.iter().cycle().skip(from);
    domains
        .take(inventory.domains.len().min(MAX_SEEDS))
        .filter_map(|domain| {
            let mut vms = inventory.entry_vms.iter();
            vms.find(|other| other.domain == domain.id && other.id != vm.id)
        })
        .map(|other| other.peer_address)
        .collect()
}
