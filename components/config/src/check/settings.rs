//! Checks of the settings of an entry VM process.

use std::collections::HashSet;

use super::{check_name, check_range};
use crate::fault::Faults;
use crate::inventory::Inventory;
use crate::near::use_one_of;
use crate::settings::Settings;

/// Shortest secret; shorter ones can be found by trial.
const MIN_SECRET: usize = 16;
/// Longest body that may be configured, in bytes.
const MAX_BODY: u64 = 1 << 30;

/// Reports all faults of the settings.
pub(crate) fn check_settings(settings: &Settings, faults: &mut Faults) {
    check_name(&settings.id, || "id".into(), faults);
    check_name(&settings.domain, || "domain".into(), faults);
    check_listeners(settings, faults);
    for (list, addresses) in [("platform", &settings.platform), ("seeds", &settings.seeds)] {
        let mut seen = HashSet::new();
        for (i, address) in addresses.iter().enumerate() {
            let path = format!("{list}[{i}]");
            if address.port() == 0 || address.ip().is_unspecified() {
                let message = format!("{address} cannot be connected to");
                faults.error(&path, message, "give an IP address and a port from 1");
            }
            if !seen.insert(address) {
                faults.error(&path, format!("{address} is listed twice"), "remove it");
            }
        }
    }
    if settings.platform.is_empty() && settings.seeds.is_empty() {
        let fix = "list at least one address, or no configuration can be found";
        faults.error("platform", "neither platform nor seeds are given", fix);
    } else if settings.platform.is_empty() {
        let fix = "list the addresses of the platform";
        faults.warning(
            "platform",
            "changes arrive through other entry VMs only",
            fix,
        );
    }
    check_keys(settings, faults);
    check_range(settings.threads as u64, 1..=256, "threads", faults);
    check_range(
        settings.max_request_body,
        1..=MAX_BODY,
        "max_request_body",
        faults,
    );
    check_range(
        settings.max_response_body,
        1..=MAX_BODY,
        "max_response_body",
        faults,
    );
}

fn check_listeners(settings: &Settings, faults: &mut Faults) {
    let listeners = [
        ("caller_address", settings.caller_address),
        ("peer_address", settings.peer_address),
        ("operator_address", settings.operator_address),
    ];
    for (i, (name, address)) in listeners.iter().enumerate() {
        if address.port() == 0 {
            let fix = "give the port that the inventory names";
            faults.error(name, "port 0 cannot be found by others", fix);
        } else if let Some((other, _)) = listeners[..i].iter().find(|(_, a)| a == address) {
            let message = format!("{address} is already used for {other}");
            faults.error(name, message, "give each listener its own port");
        }
    }
}

fn check_keys(settings: &Settings, faults: &mut Faults) {
    if settings.keys.is_empty() {
        faults.error("keys", "no key is given", "add one; the first key signs");
    }
    let mut seen = HashSet::new();
    for (i, key) in settings.keys.iter().enumerate() {
        if !seen.insert(key.id) {
            let message = format!("key id {} is given twice", key.id);
            faults.error(
                &format!("keys[{i}].id"),
                message,
                "give each key its own id",
            );
        }
        if key.secret.chars().count() < MIN_SECRET {
            let fix = format!("use at least {MIN_SECRET} random characters");
            faults.error(&format!("keys[{i}].secret"), "secret is too short", fix);
        }
    }
}

/// Reports settings that do not fit the inventory.
pub(crate) fn check_settings_with(settings: &Settings, inventory: &Inventory, faults: &mut Faults) {
    let Some(vm) = inventory.entry_vms.iter().find(|v| v.id == settings.id) else {
        let message = format!("entry VM {:?} is not in the inventory", settings.id);
        let known = inventory.entry_vms.iter().map(|v| &*v.id);
        return faults.error("id", message, use_one_of(&settings.id, known));
    };
    if vm.domain != settings.domain {
        let message = format!("the inventory places {:?} in {:?}", vm.id, vm.domain);
        faults.error("domain", message, "make both agree");
    }
    for (name, own, listed) in [
        ("caller_address", settings.caller_address, vm.caller_address),
        ("peer_address", settings.peer_address, vm.peer_address),
        (
            "operator_address",
            settings.operator_address,
            vm.operator_address,
        ),
    ] {
        let any = own.ip().is_unspecified() && own.port() == listed.port();
        if own != listed && !any {
            let message = format!("the inventory gives {listed} for {:?}", vm.id);
            faults.error(name, message, "make both agree");
        }
    }
}
