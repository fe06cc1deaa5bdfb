//! `settings`: prints the settings of an entry VM, derived from the inventory.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use config::{EntryVm, Inventory, KeySettings, Settings};

use super::exit::{self, Code};
use super::files;

/// One seed in the failure domain of the entry VM and one in each of the next three.
const MAX_SEEDS: usize = 4;

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
        .about("Print the settings of an entry VM, derived from the inventory")
        .after_help(
            "The listen addresses are those of the inventory. The seeds are another entry VM of the\n\
             same failure domain and one entry VM of each of the next three failure domains in the\n\
             order of the inventory. The output contains the keys: make it readable only for the\n\
             process.\n\n\
             The key file is the list of keys as in the settings, such as\n\
             [{ id: 1, secret: \"at least 16 characters\" }]; the first key signs.\n\n\
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
                .help("Address of the platform, IP:PORT; several addresses are tried in turn")
                .required(true)
                .action(ArgAction::Append)
                .value_delimiter(',')
                .value_parser(value_parser!(SocketAddr)),
        )
}

pub fn run(args: &ArgMatches) -> ExitCode {
    match build_settings(args) {
        Ok(settings) => {
            let text = serde_json::to_string_pretty(&settings).unwrap_or_default();
            files::print(format_args!("{text}\n"));
            exit::SUCCESS.into()
        }
        Err(code) => code.into(),
    }
}

fn build_settings(args: &ArgMatches) -> Result<Settings, Code> {
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
        return Err(exit::FAILURE);
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
        keys: read_keys(path("key-file")?)?,
        ..Settings::default()
    };
    validate(&settings)?;
    Ok(settings)
}

/// Reads the key file. Error messages leave out the parser's text, which could contain a secret.
fn read_keys(path: &Path) -> Result<Vec<KeySettings>, Code> {
    let file = files::read(path)?;
    json5::from_str(&file.text).map_err(|error| {
        let line = error.position().map_or(1, |p| p.line + 1);
        eprintln!(
            "{}:{line}: error: not a valid list of keys; expected [{{ id: 1, secret: \"...\" }}]",
            file.name
        );
        exit::FAILURE
    })
}

/// Rejects settings that an entry VM would reject.
fn validate(settings: &Settings) -> Result<(), Code> {
    let text = serde_json::to_string(settings).unwrap_or_default();
    let name = format!("settings of {}", settings.id);
    config::parse_settings(&name, &text)
        .map(drop)
        .map_err(|report| {
            eprintln!("{}", report.current_context());
            exit::FAILURE
        })
}

/// Returns the peer addresses from which the entry VM reads the configuration when the platform is
/// unreachable.
fn seeds(inventory: &Inventory, vm: &EntryVm) -> Vec<SocketAddr> {
    let own = inventory.domains.iter().position(|d| d.id == vm.domain);
    let start = own.unwrap_or(0);
    let domains = inventory.domains.iter().cycle().skip(start);
    domains
        .take(inventory.domains.len().min(MAX_SEEDS))
        .filter_map(|domain| {
            let mut vms = inventory.entry_vms.iter();
            vms.find(|other| other.domain == domain.id && other.id != vm.id)
        })
        .map(|other| other.peer_address)
        .collect()
}
