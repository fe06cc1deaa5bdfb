//! The example deployments match the figures in the design document and pass all checks.

mod common;

use std::collections::BTreeSet;

use common::{example, text};
use config::{Class, FileKind, Source, check_file, detect_kind, parse_settings};

struct Figures {
    name: &'static str,
    regions: [&'static str; 3],
    services: [(&'static str, Class, u32); 4],
    connections: u32,
    bytes_per_second: u64,
    domain_delay_ms: f64,
    region_delay_ms: f64,
}

const FIGURES: [Figures; 2] = [
    Figures {
        name: "notensatz",
        regions: ["donau", "alpen", "kaernten"],
        services: [
            ("werkdienst", Class::Idempotent, 3),
            ("bestelldienst", Class::Binding, 3),
            ("fahnendienst", Class::Idempotent, 4),
            ("nachlassdienst", Class::Deferrable, 3),
        ],
        connections: 330,
        bytes_per_second: 4_000_000_000 / 8,
        domain_delay_ms: 1.5,
        region_delay_ms: 55.0,
    },
    Figures {
        name: "al-sahl",
        regions: ["irbid", "mafraq", "karak"],
        services: [
            ("lot-board", Class::Idempotent, 3),
            ("bid-desk", Class::Binding, 3),
            ("grade-ledger", Class::Idempotent, 3),
            ("price-book", Class::Idempotent, 3),
        ],
        connections: 390,
        bytes_per_second: 280_000_000 / 8,
        domain_delay_ms: 1.0,
        region_delay_ms: 35.0,
    },
];

/// Guards against examples that no longer match the figures of the deployments.
#[test]
fn examples_match_deployment_figures() {
    for figures in FIGURES {
        let inventory = example(figures.name).inventory;
        let regions: Vec<&str> = inventory.regions.iter().map(|r| &*r.id).collect();
        assert_eq!(regions, figures.regions);
        assert!(
            inventory
                .regions
                .iter()
                .all(|r| r.domain_delay_ms.to_bits() == figures.domain_delay_ms.to_bits())
        );
        assert_eq!(inventory.domains.len(), 6);
        assert_eq!(inventory.links.len(), 6);
        for link in &inventory.links {
            assert_eq!(link.bytes_per_second, figures.bytes_per_second);
            assert_eq!(link.delay_ms.to_bits(), figures.region_delay_ms.to_bits());
        }
        for domain in &inventory.domains {
            let vms = inventory
                .entry_vms
                .iter()
                .filter(|v| v.domain == domain.id)
                .count();
            assert_eq!(vms, 2, "{}", domain.id);
        }
        assert_eq!(inventory.services.len(), 4);
        for (name, class, slots) in figures.services {
            let service = inventory
                .services
                .iter()
                .find(|s| &*s.id == name)
                .expect(name);
            assert_eq!(service.class, class, "{name}");
            let servers: Vec<_> = inventory
                .servers
                .iter()
                .filter(|s| &*s.service == name)
                .collect();
            assert_eq!(servers.len(), 12, "{name}");
            assert!(servers.iter().all(|s| s.slots == slots), "{name}");
            assert!(
                servers.iter().all(|s| s.connections == figures.connections),
                "{name}"
            );
            let domains: BTreeSet<_> = servers.iter().map(|s| &s.domain).collect();
            assert_eq!(domains.len(), 6, "{name}");
        }
    }
}

/// Guards against example settings with which no entry VM can start.
#[test]
fn example_settings_match_their_inventory() {
    for figures in FIGURES {
        let inventory = example(figures.name).inventory;
        let settings = text(figures.name, "settings.json");
        let source = Source {
            name: "settings.json",
            text: &settings,
        };
        assert_eq!(check_file(FileKind::Settings, source, Some(&inventory)), []);
        parse_settings("settings.json", &settings).expect("valid settings");
        for (file, kind) in [
            ("settings.json", FileKind::Settings),
            ("inventory.json", FileKind::Inventory),
            ("rules.json", FileKind::Rules),
        ] {
            assert_eq!(detect_kind(&text(figures.name, file)), Some(kind), "{file}");
        }
    }
}

/// Guards against ports used by both deployments, which could then not run on the same machine.
#[test]
fn deployments_share_no_port() {
    let mut seen = BTreeSet::new();
    for figures in FIGURES {
        let inventory = example(figures.name).inventory;
        let vms = inventory.entry_vms.iter();
        let vms = vms.flat_map(|v| [v.caller_address, v.peer_address, v.operator_address]);
        for address in vms.chain(inventory.servers.iter().map(|s| s.address)) {
            assert!(address.ip().is_loopback());
            assert!(seen.insert(address), "{address}");
        }
    }
}
