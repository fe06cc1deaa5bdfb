//! `list`: prints the machines of an inventory, one line each.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use config::{Class, Inventory};

use super::exit::{self, Code};
use super::files;

/// Kinds of machines as named on the command line.
const KINDS: [&str; 2] = ["entry-vms", "servers"];

/// Definition of the command.
pub fn command() -> Command {
    Command::new("list")
        .about("Print the entry VMs or servers of an inventory for scripts")
        .after_help(
            "One line of key=value pairs for each machine, in the order of the inventory.\n\n\
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
                .help("Kind of machine")
                .required(true)
                .value_parser(KINDS),
        )
}

/// Runs the command.
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
    exit::FINE
}

fn servers(inventory: &Inventory) -> Code {
    for server in &inventory.servers {
        let mut services = inventory.services.iter();
        let class = match services.find(|s| s.id == server.service).map(|s| s.class) {
            Some(Class::Binding) => "binding",
            Some(Class::Idempotent) => "idempotent",
            Some(Class::Deferrable) => "deferrable",
            // The check of the inventory refuses a server without its service.
            None => return exit::FAULTS,
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
    exit::FINE
}
