//! Canonical encoding of configurations and their names in the object store.

use std::collections::BTreeMap;

use crate::Configuration;
use crate::inventory::Inventory;
use crate::prefix::Prefix;
use crate::rules::Rules;

/// Encodes a configuration as compact JSON. Equal content has equal bytes: lists are sorted by
/// name, prefixes are normalised, and negative zero becomes zero.
pub fn encode(configuration: &Configuration) -> Vec<u8> {
    serde_json::to_vec(&canonical(configuration)).expect("all keys are strings")
}

/// Name of an object in the object store: the BLAKE3 hash of its content in hexadecimal.
pub fn object_name(bytes: &[u8]) -> Box<str> {
    blake3::hash(bytes).to_hex().as_str().into()
}

/// Returns the configuration with sorted lists, normalised prefixes and no negative zeros.
pub fn canonical(configuration: &Configuration) -> Configuration {
    let mut canonical = configuration.clone();
    normalise_inventory(&mut canonical.inventory);
    normalise_rules(&mut canonical.rules);
    canonical
}

fn normalise_inventory(inventory: &mut Inventory) {
    inventory.regions.sort_by(|a, b| a.id.cmp(&b.id));
    inventory.domains.sort_by(|a, b| a.id.cmp(&b.id));
    inventory.entry_vms.sort_by(|a, b| a.id.cmp(&b.id));
    inventory.services.sort_by(|a, b| a.id.cmp(&b.id));
    inventory.servers.sort_by(|a, b| a.id.cmp(&b.id));
    inventory
        .links
        .sort_by(|a, b| (&a.from, &a.to).cmp(&(&b.from, &b.to)));
    for region in &mut inventory.regions {
        region.domain_delay_ms += 0.0;
    }
    for link in &mut inventory.links {
        link.delay_ms += 0.0;
    }
    for block in &mut inventory.client_blocks {
        if let Ok(prefix) = block.prefix.parse::<Prefix>() {
            block.prefix = prefix.to_string().into();
        }
    }
    inventory
        .client_blocks
        .sort_by(|a, b| a.prefix.cmp(&b.prefix));
}

/// Sorts the lists of drains. Adding 0.0 turns negative zero into zero and leaves other numbers
/// unchanged.
fn normalise_rules(rules: &mut Rules) {
    rules.shift_cap_per_minute += 0.0;
    rules.failover_cap_per_minute += 0.0;
    rules.retry_budget += 0.0;
    rules.deferrable_slot_share += 0.0;
    for names in [
        &mut rules.drains.servers,
        &mut rules.drains.entry_vms,
        &mut rules.drains.domains,
        &mut rules.drains.regions,
    ] {
        names.sort_unstable();
    }
    let add_zero = |shares: &mut BTreeMap<_, f64>| shares.values_mut().for_each(|s| *s += 0.0);
    for shift in rules.shifts.values_mut() {
        add_zero(&mut shift.from);
        add_zero(&mut shift.to);
    }
}
