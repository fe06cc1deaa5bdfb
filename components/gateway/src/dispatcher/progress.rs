//! How far the entry VMs have replicated the platform's tables. A source that is silent looks like a
//! table without changes; only other entry VMs can tell that there are some.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use replica::Position;

use crate::message::LastChange;

/// Time for which this entry VM may be behind another one; longer than the batches and transfers of
/// a working source take.
const MAX_LAG: Duration = Duration::from_secs(1);
/// Time after which a read from an entry VM that is ahead is repeated if it did not help.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Reads after which the change is forgotten until it is reported again.
const MAX_READS: u32 = 5;

/// Progress of this entry VM, and the entry VMs that are ahead of it, by table.
#[derive(Debug, Default)]
pub(super) struct Progress {
    tables: BTreeMap<Box<str>, TableProgress>,
    /// Announcements since the last change that this entry VM has applied.
    announcements: u32,
}

#[derive(Debug, Default)]
struct TableProgress {
    /// Transaction up to which this entry VM has all changes.
    position: Position,
    /// Transaction of the last change that this entry VM has applied.
    last_change: Position,
    ahead: Option<Ahead>,
}

/// A change that this entry VM does not have.
#[derive(Debug)]
struct Ahead {
    change: Position,
    /// Peer address of the entry VM that reported this change or a later one last.
    peer: SocketAddr,
    /// When this entry VM is to read from the other one.
    read_at: Duration,
    /// Reads so far.
    reads: u32,
}

impl Progress {
    /// Returns the last change of each table that this entry VM has applied.
    pub fn last_changes(&self) -> Vec<LastChange> {
        let changed = self
            .tables
            .iter()
            .filter(|(_, t)| t.last_change.version > 0);
        changed.map(|(n, t)| (&**n, t.last_change).into()).collect()
    }

    /// Returns whether the last change has been announced less than `count` times, and counts an
    /// announcement.
    pub fn take_announcement(&mut self, count: u32) -> bool {
        self.announcements = self.announcements.saturating_add(1);
        self.announcements <= count
    }

    /// Records the progress of this entry VM.
    pub fn advance(&mut self, table: &str, position: Position, last_change: Position) {
        let table = self.tables.entry(table.into()).or_default();
        table.position = table.position.max(position);
        if table.last_change < last_change {
            table.last_change = last_change;
            self.announcements = 0;
        }
        table.ahead.take_if(|a| a.change <= table.position);
    }

    /// Records the last change that another entry VM has applied. Tables without a snapshot here are
    /// ignored.
    pub fn record(&mut self, last_change: LastChange, peer: SocketAddr, now: Duration) {
        let (table, change) = last_change.into();
        let Some(table) = self.tables.get_mut(&table) else {
            return;
        };
        match &mut table.ahead {
            _ if change <= table.position => {}
            Some(ahead) if change >= ahead.change => ahead.peer = peer,
            Some(_) => {}
            None => {
                table.ahead = Some(Ahead {
                    change,
                    peer,
                    read_at: now + MAX_LAG,
                    reads: 0,
                });
            }
        }
    }

    /// Returns an entry VM that has been ahead of this one for longer than `MAX_LAG`, again after
    /// `RETRY_INTERVAL` if this one is still behind.
    pub fn take_ahead(&mut self, table: &str, now: Duration) -> Option<SocketAddr> {
        let slot = &mut self.tables.get_mut(table)?.ahead;
        let ahead = slot.as_mut().filter(|a| a.read_at <= now)?;
        ahead.read_at = now + RETRY_INTERVAL;
        ahead.reads += 1;
        let peer = ahead.peer;
        slot.take_if(|a| a.reads == MAX_READS);
        Some(peer)
    }
}
