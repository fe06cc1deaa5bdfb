//! Small configurations of a chosen shape.

use std::net::{Ipv4Addr, SocketAddr};

use config::{
    BackendServer, Class, Configuration, EntryVm, FailureDomain, Inventory, Link, Region, Rules,
    Service,
};

/// Binding service of a sample.
pub const ORDERS: &str = "orders";
/// Idempotent service of a sample.
pub const LISTINGS: &str = "listings";
/// Deferrable service of a sample.
pub const ARCHIVE: &str = "archive";

/// Numbers of a sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Regions.
    pub regions: usize,
    /// Failure domains per region.
    pub domains: usize,
    /// Entry VMs per failure domain.
    pub entry_vms: usize,
    /// Servers per service and failure domain.
    pub servers: usize,
    /// Slots per server.
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

/// Builds a configuration; [`crate::Deployment`] replaces its addresses.
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
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    inventory.domains.push(FailureDomain {
        id: domain.into(),
        region: region.into(),
    });
    for i in 0..shape.entry_vms {
        inventory.entry_vms.push(EntryVm {
            id: format!("{domain}-vm-{i}").into(),
            domain: domain.into(),
            caller_address: address,
            peer_address: address,
            operator_address: address,
        });
    }
    for service in &inventory.services {
        for i in 0..shape.servers {
            inventory.servers.push(BackendServer {
                id: format!("{domain}-{}-{i}", service.id).into(),
                service: service.id.clone(),
                domain: domain.into(),
                address,
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
