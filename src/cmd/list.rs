//! `list`: prints the entry VMs or servers of an inventory, one per line.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use config::{Class, Inventory};

use super::exit::{self, Code};
use super::files;

/// Kinds of resources on the command line.
const RESOURCE_KINDS: [&str; 2] = ["entry-vms", "servers"];

pub fn command() -> Command {
    Command::new("list")
        .about("Print the entry VMs or servers of an inventory for scripts")
        .after_help(
            "Prints one line of key=value pairs each, in the order of the inventory.\n\n\
             Exit codes: 0 printed, 1 errors in the file, 2 usage, 5 file unreadable",
        )
        .arg(
            Arg::new("inventory")
                .long("inventory")
                .value_name("FILE")
                .help("Inventory")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("kind")
                .value_name("KIND")
                .help("What to list")
                .required(true)
                .value_parser(RESOURCE_KINDS),
        )
}

pub fn run(args: &ArgMatches) -> ExitCode {
    let path = args.get_one::<PathBuf>("inventory").ok_or(exit::USAGE);
    let inventory = match path.and_then(|path| files::read_inventory(path)) {
        Ok(inventory) => inventory,
        Err(code) => return code.into(),
    };
    let code: Code = match args.get_one::<String>("kind").map(String::as_str) {
        Some("entry-vms") => entry_vms(&inventory),
        Some("servers") => servers(&inventory),
        _ => exit::USAGE,
    };
    code.into()
}

fn entry_vms(inventory: &Inventory) -> Code {
    for vm in &inventory.entry_vms {
        files::print(format_args!(
            "id={} domain={} caller_address={} peer_address={} operator_address={}\n",
            vm.id, vm.domain, vm.caller_address, vm.peer_address, vm.operator_address
        ));
    }
    exit::SUCCESS
}

fn servers(inventory: &Inventory) -> Code {
    for server in &inventory.servers {
        let mut services = inventory.services.iter();
        let class = match services.find(|s| s.id == server.service).map(|s| s.class) {
            Some(Class::Binding) => "binding",
            Some(Class::Idempotent) => "idempotent",
            Some(Class::Deferrable) => "deferrable",
            // Not reached: the check of the inventory rejects a server of an unknown service.
            None => return exit::FAILURE,
        };
        files::print(format_args!(
            "id={} service={} class={class} domain={} address={} slots={} connections={}\n",
            server.id,
            server.service,
            server.domain,
            server.address,
            server.slots,
            server.connections
        ));
    }
    exit::SUCCESS
}
