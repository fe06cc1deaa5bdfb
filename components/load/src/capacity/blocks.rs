//! Measures the client block map: memory, load time, swap, look-ups and differences.

use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::sync::Arc;
use std::time::Instant;

use fastrand::Rng;
use routing::blocks::{BlockMap, Difference, DomainIndex, Prefix};

use super::{CapacityReport, memory, min_ns_per_call, min_time};

/// Number of domains that blocks are mapped to.
const DOMAINS: DomainIndex = 76;
/// Numbers of blocks in the map.
const SIZES: [usize; 3] = [10_000, 100_000, 990_000];
/// Numbers of blocks that a difference changes.
const CHANGES: [usize; 6] = [10, 100, 1_000, 10_000, 30_000, 100_000];

/// Old and new map of one size, which share no chunk.
pub struct MapPair {
    blocks: usize,
    old: Arc<BlockMap>,
    new: Arc<BlockMap>,
}

/// Measures the load time, and the peak of memory while an old and a new map are loaded.
///
/// The maps are returned, so that no later measurement reuses their memory.
pub fn measure_memory(report: &mut CapacityReport) -> io::Result<Vec<MapPair>> {
    let (mut heaps, mut peaks, mut loads) = (Vec::new(), Vec::new(), Vec::new());
    let mut all = Vec::new();
    for n in SIZES {
        memory::reset_peak()?;
        let before = memory::resident()?;
        let started = Instant::now();
        let old = Arc::new(build_map(n, report.seed));
        let load_ms = started.elapsed().as_secs_f64() * 1e3;
        let new = Arc::new(build_map(n, report.seed + 1));
        let peak = memory::peak()?.saturating_sub(before) as f64;
        assert_eq!(new.shared_chunks(&old), 0);
        let heap = old.heap_bytes() as f64;
        let x = n as f64;
        heaps.push((x, heap));
        peaks.push((x, peak));
        loads.push((x, load_ms));
        report.print_line(
            "block_map",
            &[
                ("blocks", &n),
                ("heap_bytes", &heap),
                ("heap_bytes_per_block", &(heap / x)),
                ("load_ms", &load_ms),
                ("peak_bytes_old_and_new", &peak),
            ],
        )?;
        all.push(MapPair {
            blocks: n,
            old,
            new,
        });
    }
    report.print_fit("block_map_heap_bytes_by_blocks", &heaps)?;
    report.print_fit("block_map_peak_bytes_old_and_new_by_blocks", &peaks)?;
    report.print_fit("block_map_load_ms_by_blocks", &loads)?;
    Ok(all)
}

/// Measures look-ups at all sizes, differences at the largest size, and snapshots.
pub fn measure(report: &mut CapacityReport, mut pairs: Vec<MapPair>) -> io::Result<()> {
    for pair in &pairs {
        look_ups(report, &pair.old, pair.blocks)?;
    }
    if let Some(MapPair { old, new, .. }) = pairs.pop() {
        drop(new);
        differences(report, &old)?;
    }
    snapshots(report)
}

fn build_map(n: usize, seed: u64) -> BlockMap {
    BlockMap::from_sorted(BlockGenerator::new(n, seed)).expect("generated blocks are sorted")
}

/// Measures look-ups of addresses inside blocks and of addresses from the whole address space.
fn look_ups(report: &mut CapacityReport, map: &BlockMap, n: usize) -> io::Result<()> {
    let mut rng = Rng::with_seed(report.seed);
    let inside: Vec<IpAddr> = map
        .iter()
        .step_by(n / 10_000)
        .map(|(p, _)| p.address())
        .collect();
    let inside_ns = min_ns_per_call(1_000_000, |_| {
        map.look_up(inside[rng.usize(..inside.len())])
    });
    let mut found = 0usize;
    let count = 1_000_000;
    let anywhere_ns = min_ns_per_call(count, |_| {
        let domain = map.look_up(random_address(&mut rng));
        found += usize::from(domain.is_some());
        domain
    });
    report.print_line(
        "look_up",
        &[
            ("blocks", &n),
            ("inside_ns", &inside_ns),
            ("inside_per_second", &(1e9 / inside_ns)),
            ("anywhere_ns", &anywhere_ns),
            ("anywhere_per_second", &(1e9 / anywhere_ns)),
            ("anywhere_hit_share", &(found as f64 / (5 * count) as f64)),
        ],
    )
}

/// Returns a random address from the space in which blocks are generated; a quarter are IPv6.
fn random_address(rng: &mut Rng) -> IpAddr {
    if rng.u8(..4) > 0 {
        Ipv4Addr::from_bits(rng.u32(..)).into()
    } else {
        Ipv6Addr::from_bits((0b001 << 125) | (rng.u128(..) >> 3)).into()
    }
}

fn differences(report: &mut CapacityReport, map: &Arc<BlockMap>) -> io::Result<()> {
    let (mut by_chunks, mut by_changes, mut sizes) = (Vec::new(), Vec::new(), Vec::new());
    let chunks = map.shared_chunks(map);
    for n in CHANGES {
        let d = difference(map, n, report.seed);
        let ms = min_time(5, || map.apply(&d).expect("the difference fits this map")).as_secs_f64()
            * 1e3;
        let mut current = Arc::clone(map);
        let next = Arc::new(map.apply(&d).expect("the difference fits this map"));
        let copied = chunks - next.shared_chunks(map);
        let started = Instant::now();
        let old = std::mem::replace(&mut current, next);
        let swap_us = started.elapsed().as_secs_f64() * 1e6;
        drop(old);
        let wire = rmp_serde::to_vec(&d)
            .expect("the data can be encoded")
            .len() as f64;
        let x = n as f64;
        // Up to this number, nearly every change is in a chunk of its own.
        if n <= 1_000 {
            by_chunks.push((copied as f64, ms));
        }
        // From this number on, nearly all chunks are copied.
        if n >= 10_000 {
            by_changes.push((x, ms));
        }
        sizes.push((x, wire));
        report.print_line(
            "difference",
            &[
                ("blocks", &map.len()),
                ("changed", &n),
                ("chunks_copied", &copied),
                ("apply_ms", &ms),
                ("swap_us", &swap_us),
                ("wire_bytes", &wire),
                ("wire_bytes_per_block", &(wire / x)),
            ],
        )?;
    }
    report.print_fit("difference_apply_ms_by_chunks_copied", &by_chunks)?;
    report.print_fit("difference_apply_ms_by_changed", &by_changes)?;
    report.print_fit("difference_wire_bytes_by_changed", &sizes)
}

/// Measures the encoded size of all blocks, as a new entry VM receives them.
fn snapshots(report: &mut CapacityReport) -> io::Result<()> {
    let mut points = Vec::new();
    for n in SIZES {
        let blocks: Vec<(Prefix, DomainIndex)> = BlockGenerator::new(n, report.seed).collect();
        let wire = rmp_serde::to_vec(&blocks)
            .expect("the data can be encoded")
            .len();
        points.push((n as f64, wire as f64));
        report.print_line("snapshot", &[("blocks", &n), ("wire_bytes", &wire)])?;
    }
    report.print_fit("snapshot_wire_bytes_by_blocks", &points)
}

/// Returns changes spread over the whole map: of ten, eight change the domain of a block, one removes
/// a block, and one adds a block.
fn difference(map: &BlockMap, n: usize, seed: u64) -> Difference {
    let mut rng = Rng::with_seed(seed);
    let step = map.len() / n;
    let mut d = Difference::default();
    for (i, (p, _)) in map.iter().step_by(step).take(n).enumerate() {
        match i % 10 {
            0 => d.removed.push(p),
            1 => {
                // Every generated block is shorter than a host route, so the new block is not in the
                // map.
                let length = if p.is_v4() { 32 } else { 128 };
                let host = Prefix::new(p.address(), length).expect("the prefix length is valid");
                d.added.push((host, rng.u16(..DOMAINS)));
            }
            _ => d.changed.push((p, rng.u16(..DOMAINS))),
        }
    }
    d
}

/// Generates sorted blocks: three quarters IPv4 (/20 to /24), the rest IPv6 (/32 to /48), spread over
/// the address space with gaps. About one block in ten contains a longer one.
struct BlockGenerator {
    rng: Rng,
    v4: usize,
    v6: usize,
    position: u64,
    max_gap: u64,
    inner: Option<Prefix>,
}

impl BlockGenerator {
    fn new(n: usize, seed: u64) -> Self {
        let v4 = n * 3 / 4;
        BlockGenerator {
            rng: Rng::with_seed(seed),
            v4,
            v6: n - v4,
            position: 0,
            max_gap: max_gap(1 << 24, v4),
            inner: None,
        }
    }

    /// Draws the size of a block as a power of two, in units of the longest blocks (/24 and /48).
    fn size(&mut self) -> u32 {
        [0, 0, 0, 0, 0, 0, 1, 1, 2, 4][self.rng.usize(..10)]
    }

    fn next_block(&mut self) -> Option<Prefix> {
        let is_v4 = self.v4 > 0;
        if !is_v4 && self.v6 == 0 {
            return None;
        }
        let size = self.size();
        let step = 1u64 << size;
        let start = self.position.next_multiple_of(step);
        let inner = size > 0 && self.rng.u8(..4) == 0;
        let at = |unit: u64, shorter: u32| {
            if is_v4 {
                let addr = Ipv4Addr::from_bits((unit << 8) as u32);
                Prefix::new(addr.into(), 24 - shorter as u8)
            } else {
                let addr = (0b001 << 125) | (u128::from(unit) << 80);
                Prefix::new(Ipv6Addr::from_bits(addr).into(), 48 - 4 * shorter as u8)
            }
        };
        let aligned = if is_v4 { size } else { size / 4 };
        let count = if is_v4 { &mut self.v4 } else { &mut self.v6 };
        *count -= 1;
        if inner && *count > 0 {
            *count -= 1;
            self.inner = at(start + step / 2, 0).ok();
        }
        self.position = start + step + self.rng.u64(..=self.max_gap);
        if is_v4 && self.v4 == 0 {
            self.position = 0;
            self.max_gap = max_gap(1 << 45, self.v6);
        }
        Some(at(start, aligned).expect("the block is aligned to its size"))
    }
}

/// Returns the largest gap at which the blocks fill most of an address space of `units` units.
fn max_gap(units: u64, blocks: usize) -> u64 {
    // A block takes about 4 units including its alignment; the factor 0.85 keeps random gaps within
    // the space.
    let each = units as f64 * 0.85 / blocks.max(1) as f64 - 4.0;
    (2.0 * each).max(0.0) as u64
}

impl Iterator for BlockGenerator {
    type Item = (Prefix, DomainIndex);

    fn next(&mut self) -> Option<Self::Item> {
        let p = self.inner.take().or_else(|| self.next_block())?;
        Some((p, self.rng.u16(..DOMAINS)))
    }
}
