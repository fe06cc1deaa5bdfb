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

/// A block and its site.
pub type Entry = (Key, Site);

/// Consecutive blocks. An entry holds its distance from the first block without the low zero
/// bits that all distances share, in as few whole bytes as the largest distance needs.
#[derive(Debug)]
pub struct Chunk {
    base: u128,
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

    /// Last entry whose key is at most `key`.
    pub fn last_at_or_before(&self, key: Key) -> Option<Entry> {
        let (mut low, mut high) = (0, self.len());
        while low < high {
            let middle = usize::midpoint(low, high);
            if self.key(middle) <= key {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        low.checked_sub(1).map(|i| self.entry(i))
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
