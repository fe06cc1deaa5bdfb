//! Measures configuration objects: size, time to hash, time to parse with checks, and memory.

use std::io;
use std::net::SocketAddr;

use config::{
    BackendServer, Class, ClientBlock, Configuration, EntryVm, FailureDomain, Inventory, Link,
    Region, Service,
};

use super::{CapacityReport, memory, min_time};

/// Regions of the generated configuration, as at the target scale.
const REGIONS: usize = 5;
/// Failure domains of the generated configuration, as at the target scale.
const DOMAINS: usize = 14;
const SERVICES: usize = 4;
/// Numbers of entry VMs; there are ten servers per entry VM.
const ENTRY_VM_COUNTS: [usize; 4] = [12, 60, 300, 600];
/// Numbers of client blocks in the object.
const BLOCK_COUNTS: [usize; 3] = [2_500, 10_000, 40_000];

/// Measures the memory of parsed configurations.
///
/// They are returned, so that no later measurement reuses their memory.
pub fn measure_memory(report: &mut CapacityReport) -> io::Result<Vec<Configuration>> {
    let mut retained = Vec::new();
    let sizes: Vec<_> = ENTRY_VM_COUNTS[1..].iter().map(|n| (*n, 0)).collect();
    measure_memory_series(report, "entry_vms", &sizes, |(vms, _)| vms, &mut retained)?;
    let sizes: Vec<_> = BLOCK_COUNTS.iter().map(|n| (12, *n)).collect();
    measure_memory_series(
        report,
        "blocks",
        &sizes,
        |(_, blocks)| blocks,
        &mut retained,
    )?;
    Ok(retained)
}

fn measure_memory_series(
    report: &mut CapacityReport,
    dimension: &str,
    sizes: &[(usize, usize)],
    x: impl Fn((usize, usize)) -> usize,
    retained: &mut Vec<Configuration>,
) -> io::Result<()> {
    let mut points = Vec::new();
    for &(vms, blocks) in sizes {
        let source = generate(vms, blocks);
        let text = config::encode(&source);
        retained.push(source);
        let before = memory::resident()?;
        retained.extend((0..4).map(|_| parse(&text)));
        let bytes = memory::resident()?.saturating_sub(before) as f64 / 4.0;
        points.push((x((vms, blocks)) as f64, bytes));
        report.print_line(
            "configuration_memory",
            &[
                ("entry_vms", &vms),
                ("blocks", &blocks),
                ("resident_bytes", &bytes),
            ],
        )?;
    }
    report.print_fit(
        &format!("configuration_resident_bytes_by_{dimension}"),
        &points,
    )
}

/// Measures size, hash time and parse time by the number of entry VMs and of client blocks.
pub fn measure(report: &mut CapacityReport) -> io::Result<()> {
    let sizes: Vec<_> = ENTRY_VM_COUNTS.iter().map(|n| (*n, 0)).collect();
    measure_series(report, "entry_vms", &sizes, |(vms, _)| vms)?;
    let sizes: Vec<_> = BLOCK_COUNTS.iter().map(|n| (12, *n)).collect();
    measure_series(report, "blocks", &sizes, |(_, blocks)| blocks)
}

fn measure_series(
    report: &mut CapacityReport,
    dimension: &str,
    sizes: &[(usize, usize)],
    x: impl Fn((usize, usize)) -> usize,
) -> io::Result<()> {
    let (mut bytes, mut packed, mut times) = (Vec::new(), Vec::new(), Vec::new());
    for &(vms, blocks) in sizes {
        let configuration = generate(vms, blocks);
        let text = config::encode(&configuration);
        let packed_len = rmp_serde::to_vec(&configuration)
            .expect("the data can be encoded")
            .len();
        let (hash_ms, parse_ms) = hash_and_parse_ms(&text);
        let x = x((vms, blocks)) as f64;
        bytes.push((x, text.len() as f64));
        packed.push((x, packed_len as f64));
        times.push((x, parse_ms));
        report.print_line(
            "configuration",
            &[
                ("entry_vms", &vms),
                ("servers", &(10 * vms)),
                ("blocks", &blocks),
                ("object_bytes", &text.len()),
                ("message_pack_bytes", &packed_len),
                ("hash_ms", &hash_ms),
                ("parse_ms", &parse_ms),
            ],
        )?;
    }
    report.print_fit(&format!("configuration_bytes_by_{dimension}"), &bytes)?;
    report.print_fit(
        &format!("configuration_message_pack_bytes_by_{dimension}"),
        &packed,
    )?;
    report.print_fit(&format!("configuration_parse_ms_by_{dimension}"), &times)
}

/// Parses and checks a configuration, as an entry VM does before it adopts one.
fn parse(text: &[u8]) -> Configuration {
    config::parse_configuration(text).expect("a generated configuration passes the checks")
}

/// Returns the milliseconds to hash and to parse an object.
fn hash_and_parse_ms(text: &[u8]) -> (f64, f64) {
    let hash = min_time(5, || config::object_name(text));
    let parse = min_time(5, || parse(text));
    (hash.as_secs_f64() * 1e3, parse.as_secs_f64() * 1e3)
}

/// Returns a configuration with the regions and failure domains of the target scale.
pub fn generate(vms: usize, blocks: usize) -> Configuration {
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
