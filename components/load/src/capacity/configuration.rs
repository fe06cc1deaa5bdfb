//! Configuration objects: size, time of hash and of parse with checks, memory.

use std::io;
use std::net::SocketAddr;

use config::{
    BackendServer, Class, ClientBlock, Configuration, EntryVm, FailureDomain, Inventory, Link,
    Region, Service,
};

use super::{Report, least, memory};

/// Regions and domains of the target scale.
const REGIONS: usize = 5;
const DOMAINS: usize = 14;
const SERVICES: usize = 4;
/// Entry VMs; there are ten servers for each.
const SIZES: [usize; 4] = [12, 60, 300, 600];
/// Client blocks inside the object.
const BLOCKS: [usize; 3] = [2_500, 10_000, 40_000];

/// Measures the memory that parsed objects hold. They are returned so that no later measurement
/// takes memory that they have freed.
pub fn measure_memory(r: &mut Report) -> io::Result<Vec<Configuration>> {
    let mut all = Vec::new();
    let sizes: Vec<_> = SIZES[1..].iter().map(|n| (*n, 0)).collect();
    memory_series(r, "entry_vms", &sizes, |(vms, _)| vms, &mut all)?;
    let sizes: Vec<_> = BLOCKS.iter().map(|n| (12, *n)).collect();
    memory_series(r, "blocks", &sizes, |(_, blocks)| blocks, &mut all)?;
    Ok(all)
}

fn memory_series(
    r: &mut Report,
    by: &str,
    sizes: &[(usize, usize)],
    x: impl Fn((usize, usize)) -> usize,
    all: &mut Vec<Configuration>,
) -> io::Result<()> {
    let mut points = Vec::new();
    for &(vms, blocks) in sizes {
        let source = configuration(vms, blocks);
        let text = config::encode(&source);
        all.push(source);
        let before = memory::resident()?;
        all.extend((0..4).map(|_| parse(&text)));
        let bytes = memory::resident()?.saturating_sub(before) as f64 / 4.0;
        points.push((x((vms, blocks)) as f64, bytes));
        r.line(
            "configuration_memory",
            &[
                ("entry_vms", &vms),
                ("blocks", &blocks),
                ("resident_bytes", &bytes),
            ],
        )?;
    }
    r.fit(&format!("configuration_resident_bytes_by_{by}"), &points)
}

/// Measures size and time of objects by the number of entry VMs and by that of client blocks.
pub fn measure(r: &mut Report) -> io::Result<()> {
    let sizes: Vec<_> = SIZES.iter().map(|n| (*n, 0)).collect();
    series(r, "entry_vms", &sizes, |(vms, _)| vms)?;
    let sizes: Vec<_> = BLOCKS.iter().map(|n| (12, *n)).collect();
    series(r, "blocks", &sizes, |(_, blocks)| blocks)
}

fn series(
    r: &mut Report,
    by: &str,
    sizes: &[(usize, usize)],
    x: impl Fn((usize, usize)) -> usize,
) -> io::Result<()> {
    let (mut bytes, mut packed, mut times) = (Vec::new(), Vec::new(), Vec::new());
    for &(vms, blocks) in sizes {
        let configuration = configuration(vms, blocks);
        let text = config::encode(&configuration);
        let pack = rmp_serde::to_vec(&configuration).expect("plain data").len();
        let (hash_ms, parse_ms) = times_of(&text);
        let x = x((vms, blocks)) as f64;
        bytes.push((x, text.len() as f64));
        packed.push((x, pack as f64));
        times.push((x, parse_ms));
        r.line(
            "configuration",
            &[
                ("entry_vms", &vms),
                ("servers", &(10 * vms)),
                ("blocks", &blocks),
                ("object_bytes", &text.len()),
                ("message_pack_bytes", &pack),
                ("hash_ms", &hash_ms),
                ("parse_ms", &parse_ms),
            ],
        )?;
    }
    r.fit(&format!("configuration_bytes_by_{by}"), &bytes)?;
    r.fit(
        &format!("configuration_message_pack_bytes_by_{by}"),
        &packed,
    )?;
    r.fit(&format!("configuration_parse_ms_by_{by}"), &times)
}

/// Parses and checks, as a node does before it adopts a configuration.
fn parse(text: &[u8]) -> Configuration {
    config::parse_configuration(text).expect("a generated configuration passes the checks")
}

/// Milliseconds to hash and to parse.
fn times_of(text: &[u8]) -> (f64, f64) {
    let hash = least(5, || config::object_name(text));
    let parse = least(5, || parse(text));
    (hash.as_secs_f64() * 1e3, parse.as_secs_f64() * 1e3)
}

/// A configuration of the target scale's shape.
pub fn configuration(vms: usize, blocks: usize) -> Configuration {
    let address = |n: usize, port| {
        let bytes = (n as u32).to_be_bytes();
        SocketAddr::from(([10, bytes[1], bytes[2], bytes[3]], port))
    };
    let region = |n: usize| Box::from(format!("region-{}", n % REGIONS));
    let domain = |n: usize| Box::from(format!("domain-{}", n % DOMAINS));
    let service = |n: usize| Box::from(format!("service-{}", n % SERVICES));
    let entry_vm = |n: usize| EntryVm {
        id: format!("entry-{n}").into(),
        domain: domain(n),
        caller_address: address(n, 7000),
        peer_address: address(n, 7001),
        operator_address: address(n, 7002),
    };
    let server = |n: usize| BackendServer {
        id: format!("server-{n}").into(),
        service: service(n),
        domain: domain(n),
        address: address(n + (1 << 20), 8000),
        slots: 3,
        connections: 330,
    };
    let link = |n: usize| Link {
        from: region(n),
        to: region(n + 1 + n / REGIONS),
        bytes_per_second: 500_000_000,
        delay_ms: 55.0,
    };
    let block = |n: usize| ClientBlock {
        prefix: format!("{}.{}.{}.0/24", n >> 16 & 255, n >> 8 & 255, n & 255).into(),
        domain: domain(n),
    };
    let inventory = Inventory {
        regions: (0..REGIONS)
            .map(|n| Region {
                id: region(n),
                domain_delay_ms: 1.5,
            })
            .collect(),
        domains: (0..DOMAINS)
            .map(|n| FailureDomain {
                id: domain(n),
                region: region(n),
            })
            .collect(),
        entry_vms: (0..vms).map(entry_vm).collect(),
        services: (0..SERVICES)
            .map(|n| Service {
                id: service(n),
                class: Class::Idempotent,
            })
            .collect(),
        servers: (0..10 * vms).map(server).collect(),
        links: (0..REGIONS * (REGIONS - 1)).map(link).collect(),
        client_blocks: (0..blocks).map(block).collect(),
    };
    Configuration {
        inventory,
        ..Configuration::default()
    }
}
