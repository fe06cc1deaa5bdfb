//! Changes between two versions of a block map.

use error_stack::Report;
use serde::{Deserialize, Serialize};

use super::chunk::Key;
use super::table::Edit;
use super::{BlockMap, Error, Prefix, Result, Site};

/// Changes from one version of a block map to the next. Each block occurs at most once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Difference {
    /// Blocks that the previous version does not hold.
    pub added: Vec<(Prefix, Site)>,
    /// Blocks of the previous version with their new site.
    pub changed: Vec<(Prefix, Site)>,
    /// Blocks that the next version does not hold.
    pub removed: Vec<Prefix>,
}

impl Difference {
    /// Changes that lead from `old` to `new`.
    pub fn between(old: &BlockMap, new: &BlockMap) -> Self {
        let mut out = Difference::default();
        let mut olds = old.iter().peekable();
        for (prefix, site) in new.iter() {
            while let Some((gone, _)) = olds.next_if(|(p, _)| *p < prefix) {
                out.removed.push(gone);
            }
            match olds.next_if(|(p, _)| *p == prefix) {
                None => out.added.push((prefix, site)),
                Some((_, was)) if was != site => out.changed.push((prefix, site)),
                Some(_) => {}
            }
        }
        out.removed.extend(olds.map(|(p, _)| p));
        out
    }

    /// Number of blocks changed.
    pub fn len(&self) -> usize {
        self.added.len() + self.changed.len() + self.removed.len()
    }

    /// Whether nothing changes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Ascending edits of the IPv4 and the IPv6 table.
    pub(super) fn edits(&self) -> Result<Edits> {
        let added = self.added.iter().map(|(p, s)| (*p, Edit::Add(*s)));
        let changed = self.changed.iter().map(|(p, s)| (*p, Edit::Change(*s)));
        let removed = self.removed.iter().map(|p| (*p, Edit::Remove));
        let mut all: Vec<_> = added.chain(changed).chain(removed).collect();
        all.sort_unstable_by_key(|(p, _)| *p);
        if let Some(w) = all.windows(2).find(|w| w[0].0 == w[1].0) {
            return Err(Report::new(Error::Repeated(w[0].0)));
        }
        let at = all.partition_point(|(p, _)| p.is_v4());
        let keyed = |part: &[(Prefix, Edit)]| part.iter().map(|(p, e)| (p.key(), *e)).collect();
        Ok((keyed(&all[..at]), keyed(&all[at..])))
    }
}

type Edits = (Vec<(Key, Edit)>, Vec<(Key, Edit)>);
