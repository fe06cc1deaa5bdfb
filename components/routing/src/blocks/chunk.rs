//! Compressed runs of consecutive blocks.

use super::Site;

/// Bytes of prefix length and site that follow the offset of an entry.
const TAIL: usize = 3;

/// Address bits, left-aligned in 128 bits, and prefix length.
///
/// In this order a block comes directly before the blocks inside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// First address of the block.
    pub bits: u128,
    /// Length of the prefix.
    pub length: u8,
}

impl Key {
    /// Whether the block contains the address.
    pub fn contains(self, addr: u128) -> bool {
        addr & mask(self.length) == self.bits
    }
}

/// Mask of the first `length` bits.
pub fn mask(length: u8) -> u128 {
    u128::MAX
        .checked_shl(128 - u32::from(length.min(128)))
        .unwrap_or(0)
}

/// Bit of a prefix length in a set of lengths. Length 128 has none: such a block contains no
/// other.
pub fn bit(length: u8) -> u128 {
    1u128.checked_shl(u32::from(length)).unwrap_or(0)
}

/// Set of all lengths up to `limit`.
pub fn up_to(limit: u8) -> u128 {
    2u128
        .checked_shl(u32::from(limit))
        .map_or(u128::MAX, |b| b.wrapping_sub(1))
}

/// A block and its site.
pub type Entry = (Key, Site);

/// Consecutive blocks. An entry holds its distance from the first block without the low zero
/// bits that all distances share, in as few whole bytes as the largest distance needs.
#[derive(Debug)]
pub struct Chunk {
    base: u128,
    lengths: u128,
    shift: u8,
    width: u8,
    data: Box<[u8]>,
}

impl Chunk {
    /// Compresses ascending entries; there must be at least one.
    pub fn encode(entries: &[Entry]) -> Self {
        let base = entries[0].0.bits;
        let all = entries.iter().fold(0, |acc, (k, _)| acc | (k.bits - base));
        let shift = if all == 0 { 0 } else { all.trailing_zeros() };
        let width = (128 - (all >> shift).leading_zeros()).div_ceil(8) as u8;
        let mut data = Vec::with_capacity(entries.len() * (usize::from(width) + TAIL));
        for (key, site) in entries {
            let offset = ((key.bits - base) >> shift).to_be_bytes();
            data.extend_from_slice(&offset[16 - usize::from(width)..]);
            data.push(key.length);
            data.extend_from_slice(&site.to_le_bytes());
        }
        Chunk {
            base,
            lengths: entries.iter().fold(0, |acc, (k, _)| acc | bit(k.length)),
            shift: shift as u8,
            width,
            data: data.into_boxed_slice(),
        }
    }

    /// Number of blocks.
    pub fn len(&self) -> usize {
        self.data.len() / self.stride()
    }

    /// Entry at an index.
    pub fn entry(&self, index: usize) -> Entry {
        let at = index * self.stride();
        let tail = at + usize::from(self.width);
        let data = &self.data[..tail + TAIL];
        let site = Site::from_le_bytes([data[tail + 1], data[tail + 2]]);
        (self.key(index), site)
    }

    /// Last entry whose key is at most `key`, which must not be before the first block.
    pub fn last_at_or_before(&self, key: Key) -> Entry {
        let width = usize::from(self.width);
        let distance = key.bits - self.base;
        let offset = distance >> self.shift;
        let bytes = offset.to_be_bytes();
        if bytes[..16 - width].iter().any(|b| *b > 0) {
            return self.entry(self.len() - 1);
        }
        // Offsets are compared as big-endian bytes, followed by the length.
        let mut wanted = [u8::MAX; 17];
        wanted[..width].copy_from_slice(&bytes[16 - width..]);
        if offset << self.shift == distance {
            wanted[width] = key.length;
        }
        let wanted = &wanted[..=width];
        let (mut low, mut high) = (1, self.len());
        while low < high {
            let middle = usize::midpoint(low, high);
            let at = middle * self.stride();
            if &self.data[at..=at + width] <= wanted {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        self.entry(low - 1)
    }

    /// Longest block of the chunk, no longer than `limit`, that contains the address.
    pub fn longest(&self, addr: u128, limit: u8) -> Option<Entry> {
        let mut lengths = self.lengths & up_to(limit);
        while lengths != 0 {
            let length = 127 - lengths.leading_zeros() as u8;
            lengths &= !bit(length);
            let bits = addr & mask(length);
            if bits < self.base {
                return None;
            }
            let wanted = Key { bits, length };
            if wanted >= self.key(0) {
                let entry = self.last_at_or_before(wanted);
                if entry.0 == wanted {
                    return Some(entry);
                }
            }
        }
        None
    }

    /// Lengths of the blocks of the chunk that contain the address, as a set of bits.
    pub fn covering(&self, addr: u128) -> u128 {
        let mut out = 0;
        let mut limit = 127;
        while let Some((key, _)) = self.longest(addr, limit) {
            out |= bit(key.length);
            match key.length.checked_sub(1) {
                Some(l) => limit = l,
                None => break,
            }
        }
        out
    }

    /// Bytes on the heap besides the chunk itself.
    pub fn heap_bytes(&self) -> usize {
        self.data.len()
    }

    fn stride(&self) -> usize {
        usize::from(self.width) + TAIL
    }

    fn key(&self, index: usize) -> Key {
        let at = index * self.stride();
        let entry = &self.data[at..at + self.stride()];
        let (offset, tail) = entry.split_at(usize::from(self.width));
        let offset = offset
            .iter()
            .fold(0u128, |acc, &b| (acc << 8) | u128::from(b));
        Key {
            bits: self.base + (offset << self.shift),
            length: tail[0],
        }
    }
}
