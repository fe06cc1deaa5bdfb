//! Sorted blocks of one address family in shared chunks.

use std::sync::Arc;

use super::Site;
use super::chunk::{Chunk, Entry, Key, mask, up_to};

/// Blocks per chunk when a table is built. A change copies one chunk, a look-up searches one.
const CHUNK: usize = 512;
/// A chunk left with fewer blocks than this is joined with the next one.
const MIN_CHUNK: usize = 128;

/// One change of a difference.
#[derive(Clone, Copy, Debug)]
pub enum Edit {
    /// Adds a block that is not present.
    Add(Site),
    /// Gives a present block another site.
    Change(Site),
    /// Removes a present block.
    Remove,
}

/// Immutable sorted table.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// First block of each chunk.
    firsts: Vec<Key>,
    /// Lengths of the blocks in earlier chunks that contain the first block of each chunk.
    outer: Vec<u128>,
    chunks: Vec<Arc<Chunk>>,
}

impl Table {
    /// Site of the longest block that contains the address.
    pub fn look_up(&self, addr: u128) -> Option<Site> {
        let last = Key {
            bits: addr,
            length: 128,
        };
        let i = self.chunk_of(last)?;
        let (found, site) = self.chunks[i].last_at_or_before(last);
        if found.contains(addr) {
            return Some(site);
        }
        // Any block that contains the address sorts before the one found, so it contains both and
        // is no longer than their common prefix.
        let common = (found.bits ^ addr).leading_zeros() as u8;
        if let Some((_, site)) = self.chunks[i].longest(addr, common) {
            return Some(site);
        }
        // A block of an earlier chunk contains the first block of this one as well.
        let first = self.firsts[i];
        let common = first.length.min((first.bits ^ addr).leading_zeros() as u8);
        let lengths = self.outer[i] & up_to(common);
        let length = 127u8.checked_sub(lengths.leading_zeros() as u8)?;
        let key = Key {
            bits: addr & mask(length),
            length,
        };
        let (found, site) = self.chunks[self.chunk_of(key)?].last_at_or_before(key);
        debug_assert_eq!(found, key);
        Some(site)
    }

    /// Table with ascending edits applied, or the first edit that does not fit.
    pub fn apply(&self, edits: &[(Key, Edit)]) -> Result<Self, (Key, Edit)> {
        if edits.is_empty() {
            return Ok(self.clone());
        }
        let mut b = Builder::default();
        let mut rest = edits;
        for (i, chunk) in self.chunks.iter().enumerate() {
            let count = match self.firsts.get(i + 1) {
                Some(next) => rest.partition_point(|(k, _)| k < next),
                None => rest.len(),
            };
            let (here, later) = rest.split_at(count);
            rest = later;
            if here.is_empty() && b.pending.is_empty() {
                b.share(self.firsts[i], Arc::clone(chunk));
            } else {
                merge((0..chunk.len()).map(|i| chunk.entry(i)), here, &mut b)?;
                b.settle();
            }
        }
        merge(std::iter::empty(), rest, &mut b)?;
        Ok(b.finish())
    }

    /// Number of blocks.
    pub fn len(&self) -> usize {
        self.chunks.iter().map(|c| c.len()).sum()
    }

    /// All blocks in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = Entry> + '_ {
        self.chunks
            .iter()
            .flat_map(|c| (0..c.len()).map(|i| c.entry(i)))
    }

    /// Bytes on the heap, without the allocator's own.
    pub fn heap_bytes(&self) -> usize {
        let chunk = size_of::<Chunk>() + 2 * size_of::<usize>();
        let chunks: usize = self.chunks.iter().map(|c| chunk + c.heap_bytes()).sum();
        chunks
            + self.firsts.capacity() * size_of::<Key>()
            + self.outer.capacity() * size_of::<u128>()
            + self.chunks.capacity() * size_of::<Arc<Chunk>>()
    }

    /// Number of chunks that both tables share.
    pub fn shared_chunks(&self, other: &Self) -> usize {
        let known: std::collections::HashSet<_> = other.chunks.iter().map(Arc::as_ptr).collect();
        let shared = self
            .chunks
            .iter()
            .filter(|c| known.contains(&Arc::as_ptr(c)));
        shared.count()
    }

    /// Chunk that holds the last block at or before a key.
    fn chunk_of(&self, key: Key) -> Option<usize> {
        self.firsts.partition_point(|f| *f <= key).checked_sub(1)
    }

    /// Recomputes the lengths of outer blocks from chunk to chunk.
    fn link(&mut self) {
        let mut outer = 0;
        self.outer = Vec::with_capacity(self.chunks.len());
        for (i, first) in self.firsts.iter().enumerate() {
            if let Some(before) = i.checked_sub(1) {
                let common = (self.firsts[before].bits ^ first.bits).leading_zeros() as u8;
                outer = (outer & up_to(common)) | self.chunks[before].covering(first.bits);
            }
            self.outer.push(outer);
        }
    }
}

/// Collects ascending blocks into a table.
#[derive(Default)]
pub struct Builder {
    table: Table,
    pending: Vec<Entry>,
}

impl Builder {
    /// Appends a block, which must come after all others.
    pub fn push(&mut self, entry: Entry) {
        self.pending.push(entry);
        if self.pending.len() == 2 * CHUNK {
            self.emit(CHUNK);
        }
    }

    /// The finished table.
    pub fn finish(mut self) -> Table {
        if !self.pending.is_empty() {
            self.split_pending();
        }
        self.table.firsts.shrink_to_fit();
        self.table.chunks.shrink_to_fit();
        self.table.link();
        self.table
    }

    fn share(&mut self, first: Key, chunk: Arc<Chunk>) {
        self.table.firsts.push(first);
        self.table.chunks.push(chunk);
    }

    /// Writes the pending blocks as chunks unless they are too few for one.
    fn settle(&mut self) {
        if self.pending.len() >= MIN_CHUNK {
            self.split_pending();
        }
    }

    fn split_pending(&mut self) {
        let parts = self.pending.len().div_ceil(CHUNK);
        let size = self.pending.len().div_ceil(parts);
        while !self.pending.is_empty() {
            self.emit(size.min(self.pending.len()));
        }
    }

    fn emit(&mut self, count: usize) {
        let chunk = Chunk::encode(&self.pending[..count]);
        self.share(self.pending[0].0, Arc::new(chunk));
        self.pending.drain(..count);
    }
}

/// Appends the entries with the edits applied to the builder.
fn merge(
    entries: impl Iterator<Item = Entry>,
    edits: &[(Key, Edit)],
    b: &mut Builder,
) -> Result<(), (Key, Edit)> {
    let mut entries = entries.peekable();
    for &(key, edit) in edits {
        while let Some(e) = entries.next_if(|(k, _)| *k < key) {
            b.push(e);
        }
        let present = entries.next_if(|(k, _)| *k == key).is_some();
        match edit {
            Edit::Add(site) if !present => b.push((key, site)),
            Edit::Change(site) if present => b.push((key, site)),
            Edit::Remove if present => {}
            _ => return Err((key, edit)),
        }
    }
    entries.for_each(|e| b.push(e));
    Ok(())
}
