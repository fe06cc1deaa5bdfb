//! Compressed sequences of consecutive blocks.

use super::DomainIndex;

/// Size of the prefix length and the domain, which follow the offset of an entry.
const SUFFIX_BYTES: usize = 3;

/// Sort key of a block: address bits, left-aligned in 128 bits, then prefix length.
///
/// A block sorts directly before the blocks that it contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// First address of the block.
    pub bits: u128,
    pub length: u8,
}

impl Key {
    /// Returns whether the block contains the address.
    pub fn contains(self, addr: u128) -> bool {
        addr & prefix_mask(self.length) == self.bits
    }
}

/// Returns the mask of the first `length` bits.
pub fn prefix_mask(length: u8) -> u128 {
    u128::MAX
        .checked_shl(128 - u32::from(length.min(128)))
        .unwrap_or(0)
}

/// Returns the bit that represents a prefix length in a set of lengths. Length 128 has no bit, as a
/// block of one address contains no other block.
pub fn length_bit(length: u8) -> u128 {
    1u128.checked_shl(u32::from(length)).unwrap_or(0)
}

/// Returns the set of all lengths up to `limit`.
pub fn lengths_up_to(limit: u8) -> u128 {
    2u128
        .checked_shl(u32::from(limit))
        .map_or(u128::MAX, |b| b.wrapping_sub(1))
}

/// A block and its failure domain.
pub type Entry = (Key, DomainIndex);

/// Consecutive blocks. Each entry holds the offset of its address from the first block, the prefix
/// length and the domain. Low bits that are zero in all offsets are left out, and all offsets take
/// as many whole bytes as the largest one.
#[derive(Debug)]
pub struct Chunk {
    /// Address bits of the first block.
    base: u128,
    /// Set of the prefix lengths that occur.
    lengths: u128,
    /// Number of low zero bits left out of the offsets.
    shift: u8,
    /// Bytes per offset.
    offset_bytes: u8,
    data: Box<[u8]>,
}

impl Chunk {
    /// Compresses ascending entries, of which there must be at least one.
    pub fn encode(entries: &[Entry]) -> Self {
        let base = entries[0].0.bits;
        let all_bits = entries.iter().fold(0, |acc, (k, _)| acc | (k.bits - base));
        let shift = if all_bits == 0 {
            0
        } else {
            all_bits.trailing_zeros()
        };
        let offset_bytes = (128 - (all_bits >> shift).leading_zeros()).div_ceil(8) as u8;
        let mut data =
            Vec::with_capacity(entries.len() * (usize::from(offset_bytes) + SUFFIX_BYTES));
        for (key, domain) in entries {
            let offset = ((key.bits - base) >> shift).to_be_bytes();
            data.extend_from_slice(&offset[16 - usize::from(offset_bytes)..]);
            data.push(key.length);
            data.extend_from_slice(&domain.to_le_bytes());
        }
        Chunk {
            base,
            lengths: entries
                .iter()
                .fold(0, |acc, (k, _)| acc | length_bit(k.length)),
            shift: shift as u8,
            offset_bytes,
            data: data.into_boxed_slice(),
        }
    }

    pub fn len(&self) -> usize {
        self.data.len() / self.entry_bytes()
    }

    pub fn entry(&self, index: usize) -> Entry {
        let start = index * self.entry_bytes();
        let suffix = start + usize::from(self.offset_bytes);
        let data = &self.data[..suffix + SUFFIX_BYTES];
        let domain = DomainIndex::from_le_bytes([data[suffix + 1], data[suffix + 2]]);
        (self.key(index), domain)
    }

    /// Returns the last entry whose key is at most `key`. `key` must not sort before the first
    /// block.
    pub fn last_at_or_before(&self, key: Key) -> Entry {
        let offset_bytes = usize::from(self.offset_bytes);
        let distance = key.bits - self.base;
        let offset = distance >> self.shift;
        let bytes = offset.to_be_bytes();
        if bytes[..16 - offset_bytes].iter().any(|b| *b > 0) {
            return self.entry(self.len() - 1);
        }
        // Offsets are compared as big-endian bytes, followed by the length.
        let mut target = [u8::MAX; 17];
        target[..offset_bytes].copy_from_slice(&bytes[16 - offset_bytes..]);
        if offset << self.shift == distance {
            target[offset_bytes] = key.length;
        }
        let target = &target[..=offset_bytes];
        let (mut low, mut high) = (1, self.len());
        while low < high {
            let middle = usize::midpoint(low, high);
            let start = middle * self.entry_bytes();
            if &self.data[start..=start + offset_bytes] <= target {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        self.entry(low - 1)
    }

    /// Returns the block with the longest prefix, up to `limit` bits, that contains the address.
    pub fn longest_match(&self, addr: u128, limit: u8) -> Option<Entry> {
        let mut lengths = self.lengths & lengths_up_to(limit);
        while lengths != 0 {
            let length = 127 - lengths.leading_zeros() as u8;
            lengths &= !length_bit(length);
            let bits = addr & prefix_mask(length);
            if bits < self.base {
                return None;
            }
            let target = Key { bits, length };
            if target >= self.key(0) {
                let entry = self.last_at_or_before(target);
                if entry.0 == target {
                    return Some(entry);
                }
            }
        }
        None
    }

    /// Returns the set of prefix lengths of the chunk's blocks that contain the address.
    pub fn covering_lengths(&self, addr: u128) -> u128 {
        let mut out = 0;
        let mut limit = 127;
        while let Some((key, _)) = self.longest_match(addr, limit) {
            out |= length_bit(key.length);
            match key.length.checked_sub(1) {
                Some(l) => limit = l,
                None => break,
            }
        }
        out
    }

    /// Returns the size on the heap in bytes, without the chunk itself.
    pub fn heap_bytes(&self) -> usize {
        self.data.len()
    }

    fn entry_bytes(&self) -> usize {
        usize::from(self.offset_bytes) + SUFFIX_BYTES
    }

    fn key(&self, index: usize) -> Key {
        let start = index * self.entry_bytes();
        let entry = &self.data[start..start + self.entry_bytes()];
        let (offset, suffix) = entry.split_at(usize::from(self.offset_bytes));
        let offset = offset
            .iter()
            .fold(0u128, |acc, &b| (acc << 8) | u128::from(b));
        Key {
            bits: self.base + (offset << self.shift),
            length: suffix[0],
        }
    }
}
