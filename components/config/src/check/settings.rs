//! Checks of the settings of an entry VM process.

use std::collections::HashSet;

use super::{check_name, check_range};
use crate::diagnostic::Diagnostics;
use crate::inventory::Inventory;
use crate::settings::Settings;
use crate::suggest::suggest_names;

/// Minimum length of a secret; shorter secrets can be guessed by brute force.
const MIN_SECRET_CHARS: usize = 16;
/// Upper limit of the configurable body sizes.
const MAX_BODY_BYTES: u64 = 1 << 30;

pub(crate) fn check_settings(settings: &Settings, diagnostics: &mut Diagnostics) {
    check_name(&settings.id, || "id".into(), diagnostics);
    check_name(&settings.domain, || "domain".into(), diagnostics);
    check_listeners(settings, diagnostics);
    for (list, addresses) in [("platform", &settings.platform), ("seeds", &settings.seeds)] {
        let mut seen = HashSet::new();
        for (i, address) in addresses.iter().enumerate() {
            let path = format!("{list}[{i}]");
            if address.port() == 0 || address.ip().is_unspecified() {
                let message = format!("{address} cannot be connected to");
                diagnostics.error(&path, message, "give an IP address and a port from 1");
            }
            if !seen.insert(address) {
                diagnostics.error(&path, format!("duplicate address {address}"), "remove it");
            }
        }
    }
    if settings.platform.is_empty() && settings.seeds.is_empty() {
        let fix = "list at least one address to fetch the configuration from";
        diagnostics.error("platform", "neither platform nor seeds are given", fix);
    } else if settings.platform.is_empty() {
        let fix = "list the addresses of the platform";
        diagnostics.warning(
            "platform",
            "configuration changes arrive only through other entry VMs",
            fix,
        );
    }
    check_keys(settings, diagnostics);
    check_range(settings.threads as u64, 1..=256, "threads", diagnostics);
    check_range(
        settings.max_request_body,
        1..=MAX_BODY_BYTES,
        "max_request_body",
        diagnostics,
    );
    check_range(
        settings.max_response_body,
        1..=MAX_BODY_BYTES,
        "max_response_body",
        diagnostics,
    );
}

fn check_listeners(settings: &Settings, diagnostics: &mut Diagnostics) {
    let listeners = [
        ("caller_address", settings.caller_address),
        ("peer_address", settings.peer_address),
        ("operator_address", settings.operator_address),
    ];
    for (i, (name, address)) in listeners.iter().enumerate() {
        if address.port() == 0 {
            let fix = "give the port from the inventory";
            diagnostics.error(name, "port 0 is not a fixed port", fix);
        } else if let Some((other, _)) = listeners[..i].iter().find(|(_, a)| a == address) {
            let message = format!("{address} is already used for {other}");
            diagnostics.error(name, message, "give each listener its own port");
        }
    }
}

fn check_keys(settings: &Settings, diagnostics: &mut Diagnostics) {
    if settings.keys.is_empty() {
        diagnostics.error("keys", "no key is given", "add one; the first key signs");
    }
    let mut seen = HashSet::new();
    for (i, key) in settings.keys.iter().enumerate() {
        if !seen.insert(key.id) {
            let message = format!("duplicate key id {}", key.id);
            diagnostics.error(
                &format!("keys[{i}].id"),
                message,
                "give each key its own id",
            );
        }
        if key.secret.chars().count() < MIN_SECRET_CHARS {
            let fix = format!("use at least {MIN_SECRET_CHARS} random characters");
            diagnostics.error(&format!("keys[{i}].secret"), "secret is too short", fix);
        }
    }
}

/// Compares the settings with the entry VM's record in the inventory.
pub(crate) fn check_settings_against_inventory(
    settings: &Settings,
    inventory: &Inventory,
    diagnostics: &mut Diagnostics,
) {
    let Some(vm) = inventory.entry_vms.iter().find(|v| v.id == settings.id) else {
        let message = format!("entry VM {:?} is not in the inventory", settings.id);
        let known = inventory.entry_vms.iter().map(|v| &*v.id);
        return diagnostics.error("id", message, suggest_names(&settings.id, known));
    };
    if vm.domain != settings.domain {
        let message = format!("the inventory places {:?} in {:?}", vm.id, vm.domain);
        diagnostics.error("domain", message, "change one of them to match the other");
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
            diagnostics.error(name, message, "change one of them to match the other");
        }
    }
}
