//! Client block map: memory, load, swap, look-ups, differences.

use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::sync::Arc;
use std::time::Instant;

use fastrand::Rng;
use routing::blocks::{BlockMap, Difference, DomainIndex, Prefix};

use super::{Report, each_ns, least, memory};

/// Sites that blocks are mapped to.
const SITES: DomainIndex = 76;
/// Sizes of the map.
const SIZES: [usize; 3] = [10_000, 100_000, 990_000];
/// Blocks changed by a difference.
const CHANGES: [usize; 6] = [10, 100, 1_000, 10_000, 30_000, 100_000];

/// Old and new map of one size, without a shared chunk.
pub struct Pair {
    blocks: usize,
    old: Arc<BlockMap>,
    new: Arc<BlockMap>,
}

/// Measures load time and the peak of memory while the old and the new map are loaded. The maps
/// are returned so that no later measurement takes memory that they have freed.
pub fn measure_memory(r: &mut Report) -> io::Result<Vec<Pair>> {
    let (mut heaps, mut peaks, mut loads) = (Vec::new(), Vec::new(), Vec::new());
    let mut all = Vec::new();
    for n in SIZES {
        memory::reset_peak()?;
        let before = memory::resident()?;
        let started = Instant::now();
        let old = Arc::new(build(n, r.seed));
        let load_ms = started.elapsed().as_secs_f64() * 1e3;
        let new = Arc::new(build(n, r.seed + 1));
        let peak = memory::peak()?.saturating_sub(before) as f64;
        assert_eq!(new.shared_chunks(&old), 0);
        let heap = old.heap_bytes() as f64;
        let x = n as f64;
        heaps.push((x, heap));
        peaks.push((x, peak));
        loads.push((x, load_ms));
        r.line(
            "block_map",
            &[
                ("blocks", &n),
                ("heap_bytes", &heap),
                ("heap_bytes_per_block", &(heap / x)),
                ("load_ms", &load_ms),
                ("peak_bytes_old_and_new", &peak),
            ],
        )?;
        all.push(Pair {
            blocks: n,
            old,
            new,
        });
    }
    r.fit("block_map_heap_bytes_by_blocks", &heaps)?;
    r.fit("block_map_peak_bytes_old_and_new_by_blocks", &peaks)?;
    r.fit("block_map_load_ms_by_blocks", &loads)?;
    Ok(all)
}

/// Measures look-ups at all sizes, differences at the largest, and snapshots.
pub fn measure(r: &mut Report, mut pairs: Vec<Pair>) -> io::Result<()> {
    for pair in &pairs {
        look_ups(r, &pair.old, pair.blocks)?;
    }
    if let Some(Pair { old, new, .. }) = pairs.pop() {
        drop(new);
        differences(r, &old)?;
    }
    snapshots(r)
}

fn build(n: usize, seed: u64) -> BlockMap {
    BlockMap::from_sorted(Blocks::new(n, seed)).expect("generated blocks ascend")
}

/// Look-ups of addresses inside blocks and of addresses drawn from the whole space.
fn look_ups(r: &mut Report, map: &BlockMap, n: usize) -> io::Result<()> {
    let mut rng = Rng::with_seed(r.seed);
    let inside: Vec<IpAddr> = map
        .iter()
        .step_by(n / 10_000)
        .map(|(p, _)| p.address())
        .collect();
    let known = each_ns(1_000_000, |_| {
        map.look_up(inside[rng.usize(..inside.len())])
    });
    let mut found = 0usize;
    let count = 1_000_000;
    let any = each_ns(count, |_| {
        let site = map.look_up(address(&mut rng));
        found += usize::from(site.is_some());
        site
    });
    r.line(
        "look_up",
        &[
            ("blocks", &n),
            ("inside_ns", &known),
            ("inside_per_second", &(1e9 / known)),
            ("anywhere_ns", &any),
            ("anywhere_per_second", &(1e9 / any)),
            ("anywhere_hit_share", &(found as f64 / (5 * count) as f64)),
        ],
    )
}

/// Address in the space that blocks are drawn from, a quarter of them IPv6.
fn address(rng: &mut Rng) -> IpAddr {
    if rng.u8(..4) > 0 {
        Ipv4Addr::from_bits(rng.u32(..)).into()
    } else {
        Ipv6Addr::from_bits((0b001 << 125) | (rng.u128(..) >> 3)).into()
    }
}

fn differences(r: &mut Report, map: &Arc<BlockMap>) -> io::Result<()> {
    let (mut by_chunks, mut by_changes, mut sizes) = (Vec::new(), Vec::new(), Vec::new());
    let chunks = map.shared_chunks(map);
    for n in CHANGES {
        let d = difference(map, n, r.seed);
        let ms = least(5, || map.apply(&d).expect("made for this map")).as_secs_f64() * 1e3;
        let mut current = Arc::clone(map);
        let next = Arc::new(map.apply(&d).expect("made for this map"));
        let copied = chunks - next.shared_chunks(map);
        let started = Instant::now();
        let old = std::mem::replace(&mut current, next);
        let swap_us = started.elapsed().as_secs_f64() * 1e6;
        drop(old);
        let wire = rmp_serde::to_vec(&d).expect("plain data").len() as f64;
        let x = n as f64;
        // Up to here each change falls into another chunk.
        if n <= 1_000 {
            by_chunks.push((copied as f64, ms));
        }
        // From here on nearly all chunks are copied.
        if n >= 10_000 {
            by_changes.push((x, ms));
        }
        sizes.push((x, wire));
        r.line(
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
    r.fit("difference_apply_ms_by_chunks_copied", &by_chunks)?;
    r.fit("difference_apply_ms_by_changed", &by_changes)?;
    r.fit("difference_wire_bytes_by_changed", &sizes)
}

/// Bytes on the wire of all blocks, as a new entry VM receives them.
fn snapshots(r: &mut Report) -> io::Result<()> {
    let mut points = Vec::new();
    for n in SIZES {
        let blocks: Vec<(Prefix, DomainIndex)> = Blocks::new(n, r.seed).collect();
        let wire = rmp_serde::to_vec(&blocks).expect("plain data").len();
        points.push((n as f64, wire as f64));
        r.line("snapshot", &[("blocks", &n), ("wire_bytes", &wire)])?;
    }
    r.fit("snapshot_wire_bytes_by_blocks", &points)
}

/// Changes spread over the whole map: of ten, eight change the site, one removes, one adds.
fn difference(map: &BlockMap, n: usize, seed: u64) -> Difference {
    let mut rng = Rng::with_seed(seed);
    let gap = map.len() / n;
    let mut d = Difference::default();
    for (i, (p, _)) in map.iter().step_by(gap).take(n).enumerate() {
        match i % 10 {
            0 => d.removed.push(p),
            1 => {
                // A host route is longer than every generated block.
                let length = if p.is_v4() { 32 } else { 128 };
                let host = Prefix::new(p.address(), length).expect("an address");
                d.added.push((host, rng.u16(..SITES)));
            }
            _ => d.changed.push((p, rng.u16(..SITES))),
        }
    }
    d
}

/// Ascending blocks, three quarters IPv4 (/20 to /24), the rest IPv6 (/32 to /48), spread over
/// the address space with gaps; one block in ten has a longer block inside.
struct Blocks {
    rng: Rng,
    v4: usize,
    v6: usize,
    position: u64,
    gap: u64,
    inner: Option<Prefix>,
}

impl Blocks {
    fn new(n: usize, seed: u64) -> Self {
        let v4 = n * 3 / 4;
        Blocks {
            rng: Rng::with_seed(seed),
            v4,
            v6: n - v4,
            position: 0,
            gap: gap_of(1 << 24, v4),
            inner: None,
        }
    }

    /// Length and size in units of the longest blocks, which are /24 and /48.
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
        self.position = start + step + self.rng.u64(..=self.gap);
        if is_v4 && self.v4 == 0 {
            self.position = 0;
            self.gap = gap_of(1 << 45, self.v6);
        }
        Some(at(start, aligned).expect("aligned to its size"))
    }
}

/// Largest gap between blocks at which they fill most of the space, which has `units` units.
fn gap_of(units: u64, blocks: usize) -> u64 {
    // A block takes about 4 units with its alignment; 0.85 leaves room for chance.
    let each = units as f64 * 0.85 / blocks.max(1) as f64 - 4.0;
    (2.0 * each).max(0.0) as u64
}

impl Iterator for Blocks {
    type Item = (Prefix, DomainIndex);

    fn next(&mut self) -> Option<Self::Item> {
        let p = self.inner.take().or_else(|| self.next_block())?;
        Some((p, self.rng.u16(..SITES)))
    }
}
