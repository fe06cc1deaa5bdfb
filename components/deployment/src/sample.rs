//! Generates small sample configurations.

use std::net::{Ipv4Addr, SocketAddr};

use config::{
    BackendServer, Class, Configuration, EntryVm, FailureDomain, Inventory, Link, Region, Rules,
    Service,
};

/// Binding service of a sample configuration.
pub const ORDERS: &str = "orders";
/// Idempotent service of a sample configuration.
pub const LISTINGS: &str = "listings";
/// Deferrable service of a sample configuration.
pub const ARCHIVE: &str = "archive";

/// Size of a sample configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    pub regions: usize,
    /// Number of failure domains per region.
    pub domains: usize,
    /// Number of entry VMs per failure domain.
    pub entry_vms: usize,
    /// Number of servers per service and failure domain.
    pub servers: usize,
    /// Number of slots per server.
    pub slots: u32,
}

impl Default for Shape {
    fn default() -> Self {
        Shape {
            regions: 1,
            domains: 2,
            entry_vms: 2,
            servers: 2,
            slots: 4,
        }
    }
}

/// Builds a configuration with placeholder addresses, which [`crate::Deployment`] replaces.
pub fn configuration(shape: Shape, rules: Rules) -> Configuration {
    let mut inventory = Inventory {
        services: [
            (ORDERS, Class::Binding),
            (LISTINGS, Class::Idempotent),
            (ARCHIVE, Class::Deferrable),
        ]
        .map(|(id, class)| Service {
            id: id.into(),
            class,
        })
        .into(),
        ..Inventory::default()
    };
    for r in 0..shape.regions {
        let region = format!("region-{r}");
        inventory.regions.push(Region {
            id: region.as_str().into(),
            domain_delay_ms: 1.0,
        });
        for d in 0..shape.domains {
            add_domain(&mut inventory, shape, &region, &format!("{region}-{d}"));
        }
    }
    inventory.links = links(shape.regions);
    Configuration { inventory, rules }
}

fn add_domain(inventory: &mut Inventory, shape: Shape, region: &str, domain: &str) {
    let placeholder = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    inventory.domains.push(FailureDomain {
        id: domain.into(),
        region: region.into(),
    });
    for i in 0..shape.entry_vms {
        inventory.entry_vms.push(EntryVm {
            id: format!("{domain}-vm-{i}").into(),
            domain: domain.into(),
            caller_address: placeholder,
            peer_address: placeholder,
            operator_address: placeholder,
        });
    }
    for service in &inventory.services {
        for i in 0..shape.servers {
            inventory.servers.push(BackendServer {
                id: format!("{domain}-{}-{i}", service.id).into(),
                service: service.id.clone(),
                domain: domain.into(),
                address: placeholder,
                slots: shape.slots,
                connections: 330,
            });
        }
    }
}

fn links(regions: usize) -> Vec<Link> {
    let pairs = (0..regions).flat_map(|a| (0..regions).map(move |b| (a, b)));
    pairs
        .filter(|(a, b)| a != b)
        .map(|(a, b)| Link {
            from: format!("region-{a}").into(),
            to: format!("region-{b}").into(),
            bytes_per_second: 100_000_000,
            delay_ms: 1.0,
        })
        .collect()
}
