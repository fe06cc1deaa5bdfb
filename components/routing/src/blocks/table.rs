//! Sorted blocks of one address family, stored in chunks that versions share.

use std::sync::Arc;

use super::DomainIndex;
use super::chunk::{Chunk, Entry, Key, lengths_up_to, prefix_mask};

/// Blocks per chunk when a table is built. A change copies one chunk, and a look-up searches one.
const CHUNK_BLOCKS: usize = 512;
/// A chunk that edits leave with fewer blocks is merged with the next one.
const MIN_CHUNK_BLOCKS: usize = 128;

/// One change of a difference.
#[derive(Clone, Copy, Debug)]
pub enum Edit {
    /// Adds a block. It must not be present.
    Add(DomainIndex),
    /// Assigns another domain to a block, which must be present.
    Change(DomainIndex),
    /// Removes a block, which must be present.
    Remove,
}

/// Immutable sorted table of blocks.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Key of the first block of each chunk.
    first_keys: Vec<Key>,
    /// For each chunk, the set of prefix lengths of the blocks in earlier chunks that contain its
    /// first block.
    outer_lengths: Vec<u128>,
    chunks: Vec<Arc<Chunk>>,
}

impl Table {
    /// Returns the domain of the block with the longest prefix that contains the address.
    pub fn look_up(&self, addr: u128) -> Option<DomainIndex> {
        let last = Key {
            bits: addr,
            length: 128,
        };
        let i = self.chunk_index(last)?;
        let (found, domain) = self.chunks[i].last_at_or_before(last);
        if found.contains(addr) {
            return Some(domain);
        }
        // Any block that contains the address sorts before the block found, so it contains both,
        // and its prefix is no longer than their common prefix.
        let common = (found.bits ^ addr).leading_zeros() as u8;
        if let Some((_, domain)) = self.chunks[i].longest_match(addr, common) {
            return Some(domain);
        }
        // A block of an earlier chunk that contains the address also contains the first block of
        // this chunk.
        let first = self.first_keys[i];
        let common = first.length.min((first.bits ^ addr).leading_zeros() as u8);
        let lengths = self.outer_lengths[i] & lengths_up_to(common);
        let length = 127u8.checked_sub(lengths.leading_zeros() as u8)?;
        let key = Key {
            bits: addr & prefix_mask(length),
            length,
        };
        let (found, domain) = self.chunks[self.chunk_index(key)?].last_at_or_before(key);
        debug_assert_eq!(found, key);
        Some(domain)
    }

    /// Returns the table with ascending edits applied, or the first edit that cannot be applied.
    pub fn apply(&self, edits: &[(Key, Edit)]) -> Result<Self, (Key, Edit)> {
        if edits.is_empty() {
            return Ok(self.clone());
        }
        let mut builder = Builder::default();
        let mut remaining_edits = edits;
        for (i, chunk) in self.chunks.iter().enumerate() {
            let count = match self.first_keys.get(i + 1) {
                Some(next) => remaining_edits.partition_point(|(k, _)| k < next),
                None => remaining_edits.len(),
            };
            let (chunk_edits, later_edits) = remaining_edits.split_at(count);
            remaining_edits = later_edits;
            if chunk_edits.is_empty() && builder.pending.is_empty() {
                builder.push_chunk(self.first_keys[i], Arc::clone(chunk));
            } else {
                merge(
                    (0..chunk.len()).map(|i| chunk.entry(i)),
                    chunk_edits,
                    &mut builder,
                )?;
                builder.flush_if_large();
            }
        }
        merge(std::iter::empty(), remaining_edits, &mut builder)?;
        Ok(builder.finish())
    }

    pub fn len(&self) -> usize {
        self.chunks.iter().map(|c| c.len()).sum()
    }

    /// Iterates over all blocks in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = Entry> + '_ {
        self.chunks
            .iter()
            .flat_map(|c| (0..c.len()).map(|i| c.entry(i)))
    }

    /// Returns the size on the heap in bytes, without the allocator's overhead.
    pub fn heap_bytes(&self) -> usize {
        let chunk_bytes = size_of::<Chunk>() + 2 * size_of::<usize>();
        let chunks: usize = self
            .chunks
            .iter()
            .map(|c| chunk_bytes + c.heap_bytes())
            .sum();
        chunks
            + self.first_keys.capacity() * size_of::<Key>()
            + self.outer_lengths.capacity() * size_of::<u128>()
            + self.chunks.capacity() * size_of::<Arc<Chunk>>()
    }

    /// Returns the number of chunks that both tables share.
    pub fn shared_chunks(&self, other: &Self) -> usize {
        let other_chunks: std::collections::HashSet<_> =
            other.chunks.iter().map(Arc::as_ptr).collect();
        let shared = self
            .chunks
            .iter()
            .filter(|c| other_chunks.contains(&Arc::as_ptr(c)));
        shared.count()
    }

    /// Returns the index of the chunk that holds the last block at or before a key.
    fn chunk_index(&self, key: Key) -> Option<usize> {
        self.first_keys
            .partition_point(|f| *f <= key)
            .checked_sub(1)
    }

    /// Computes `outer_lengths` for each chunk from the chunk before it.
    fn compute_outer_lengths(&mut self) {
        let mut outer_lengths = 0;
        self.outer_lengths = Vec::with_capacity(self.chunks.len());
        for (i, first) in self.first_keys.iter().enumerate() {
            if let Some(previous) = i.checked_sub(1) {
                let common = (self.first_keys[previous].bits ^ first.bits).leading_zeros() as u8;
                outer_lengths = (outer_lengths & lengths_up_to(common))
                    | self.chunks[previous].covering_lengths(first.bits);
            }
            self.outer_lengths.push(outer_lengths);
        }
    }
}

/// Builds a table from ascending blocks.
#[derive(Default)]
pub struct Builder {
    table: Table,
    pending: Vec<Entry>,
}

impl Builder {
    /// Appends a block, which must sort after all blocks appended before.
    pub fn push(&mut self, entry: Entry) {
        self.pending.push(entry);
        if self.pending.len() == 2 * CHUNK_BLOCKS {
            self.write_chunk(CHUNK_BLOCKS);
        }
    }

    /// Writes the pending blocks and returns the table.
    pub fn finish(mut self) -> Table {
        if !self.pending.is_empty() {
            self.flush();
        }
        self.table.first_keys.shrink_to_fit();
        self.table.chunks.shrink_to_fit();
        self.table.compute_outer_lengths();
        self.table
    }

    fn push_chunk(&mut self, first: Key, chunk: Arc<Chunk>) {
        self.table.first_keys.push(first);
        self.table.chunks.push(chunk);
    }

    /// Writes the pending blocks if there are enough for a chunk.
    fn flush_if_large(&mut self) {
        if self.pending.len() >= MIN_CHUNK_BLOCKS {
            self.flush();
        }
    }

    /// Writes the pending blocks as chunks of similar size.
    fn flush(&mut self) {
        let chunk_count = self.pending.len().div_ceil(CHUNK_BLOCKS);
        let size = self.pending.len().div_ceil(chunk_count);
        while !self.pending.is_empty() {
            self.write_chunk(size.min(self.pending.len()));
        }
    }

    /// Writes the first `count` pending blocks as a chunk.
    fn write_chunk(&mut self, count: usize) {
        let chunk = Chunk::encode(&self.pending[..count]);
        self.push_chunk(self.pending[0].0, Arc::new(chunk));
        self.pending.drain(..count);
    }
}

/// Applies ascending edits to `entries` and appends the result to the builder.
fn merge(
    entries: impl Iterator<Item = Entry>,
    edits: &[(Key, Edit)],
    builder: &mut Builder,
) -> Result<(), (Key, Edit)> {
    let mut entries = entries.peekable();
    for &(key, edit) in edits {
        while let Some(e) = entries.next_if(|(k, _)| *k < key) {
            builder.push(e);
        }
        let present = entries.next_if(|(k, _)| *k == key).is_some();
        match edit {
            Edit::Add(domain) if !present => builder.push((key, domain)),
            Edit::Change(domain) if present => builder.push((key, domain)),
            Edit::Remove if present => {}
            _ => return Err((key, edit)),
        }
    }
    entries.for_each(|e| builder.push(e));
    Ok(())
}
