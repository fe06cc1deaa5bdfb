//! Differences between two versions of a block map.

use error_stack::Report;
use serde::{Deserialize, Serialize};

use super::chunk::Key;
use super::table::Edit;
use super::{BlockMap, DomainIndex, Error, Prefix, Result};

/// Changes from one version of a block map to the next. Each block occurs at most once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Difference {
    /// Blocks that are not in the previous version.
    pub added: Vec<(Prefix, DomainIndex)>,
    /// Blocks of the previous version that have a new domain.
    pub changed: Vec<(Prefix, DomainIndex)>,
    /// Blocks that are not in the next version.
    pub removed: Vec<Prefix>,
}

impl Difference {
    /// Computes the changes that turn `old` into `new`.
    pub fn between(old: &BlockMap, new: &BlockMap) -> Self {
        let mut out = Difference::default();
        let mut old_blocks = old.iter().peekable();
        for (prefix, domain) in new.iter() {
            while let Some((removed, _)) = old_blocks.next_if(|(p, _)| *p < prefix) {
                out.removed.push(removed);
            }
            match old_blocks.next_if(|(p, _)| *p == prefix) {
                None => out.added.push((prefix, domain)),
                Some((_, old_domain)) if old_domain != domain => out.changed.push((prefix, domain)),
                Some(_) => {}
            }
        }
        out.removed.extend(old_blocks.map(|(p, _)| p));
        out
    }

    /// Returns the number of blocks added, changed or removed.
    pub fn len(&self) -> usize {
        self.added.len() + self.changed.len() + self.removed.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the edits of the IPv4 and the IPv6 table in ascending order.
    pub(super) fn edits(&self) -> Result<Edits> {
        let added = self.added.iter().map(|(p, s)| (*p, Edit::Add(*s)));
        let changed = self.changed.iter().map(|(p, s)| (*p, Edit::Change(*s)));
        let removed = self.removed.iter().map(|p| (*p, Edit::Remove));
        let mut all: Vec<_> = added.chain(changed).chain(removed).collect();
        all.sort_unstable_by_key(|(p, _)| *p);
        if let Some(pair) = all.windows(2).find(|pair| pair[0].0 == pair[1].0) {
            return Err(Report::new(Error::Repeated(pair[0].0)));
        }
        let v6_start = all.partition_point(|(p, _)| p.is_v4());
        let keyed = |edits: &[(Prefix, Edit)]| edits.iter().map(|(p, e)| (p.key(), *e)).collect();
        Ok((keyed(&all[..v6_start]), keyed(&all[v6_start..])))
    }
}

/// Edits of the IPv4 and the IPv6 table.
type Edits = (Vec<(Key, Edit)>, Vec<(Key, Edit)>);
