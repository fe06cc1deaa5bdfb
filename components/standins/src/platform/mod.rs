//! Stand-in for the platform: table service, object store and VM list in memory.

mod faults;
mod objects;
mod routes;
mod table;
mod vms;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_channel::Receiver;
use async_net::TcpListener;
use serde::Serialize;

pub use faults::{ObjectFault, PlatformFaults};
pub use table::{Expect, RowState, Write};
pub use vms::{VmRecord, VmState};

use crate::connection::{self, Counters, Limits};
use objects::Objects;
use table::Table;
use vms::VmList;

/// Settings of the platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Time until a change of the VM list becomes visible.
    pub vm_list_lag: Duration,
    /// Most rows in the table.
    pub rows: usize,
    /// Most bytes in the object store.
    pub object_bytes: u64,
    /// Longest single object in bytes.
    pub object_size: u64,
    /// Connections open at once.
    pub connections: usize,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        PlatformSettings {
            vm_list_lag: Duration::from_secs(2),
            rows: 200_000,
            object_bytes: 512 << 20,
            object_size: 32 << 20,
            connections: 2_000,
        }
    }
}

/// Counts of requests since the start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PlatformStats {
    /// Row reads and row lists.
    pub table_reads: u64,
    /// Transactions, with or without effect.
    pub transactions: u64,
    /// Transactions without effect because a condition did not hold.
    pub conflicts: u64,
    /// Object reads.
    pub object_reads: u64,
    /// Object writes.
    pub object_writes: u64,
    /// VM list reads.
    pub vm_reads: u64,
    /// Writes whose answer was dropped after the effect.
    pub lost_answers: u64,
    /// Writes that were dropped before the effect.
    pub lost_requests: u64,
    /// Requests dropped while the platform was down.
    pub dropped: u64,
}

/// Handle of one platform stand-in; clones share the state.
#[derive(Clone)]
pub struct Platform {
    settings: Arc<PlatformSettings>,
    state: Arc<Mutex<State>>,
}

/// Everything that a platform stand-in remembers.
struct State {
    faults: PlatformFaults,
    stats: PlatformStats,
    table: Table,
    objects: Objects,
    vms: VmList,
}

impl Platform {
    /// An empty platform.
    pub fn new(settings: PlatformSettings) -> Platform {
        let state = State {
            faults: PlatformFaults::default(),
            stats: PlatformStats::default(),
            table: Table::new(settings.rows),
            objects: Objects::new(settings.object_bytes),
            vms: VmList::new(settings.vm_list_lag),
        };
        Platform {
            settings: Arc::new(settings),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Changes the faults in force.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        let mut state = self.state();
        let mut faults = state.faults.clone();
        change(&mut faults);
        state.switch(faults);
    }

    /// Counts since the start.
    pub fn stats(&self) -> PlatformStats {
        self.state().stats.clone()
    }

    /// Adds a VM or changes its state; visible after the lag of the list.
    pub fn put_vm(&self, id: &str, vm_state: VmState) {
        self.state().vms.change(id, Some(vm_state));
    }

    /// Removes a VM; visible after the lag of the list.
    pub fn remove_vm(&self, id: &str) {
        self.state().vms.change(id, None);
    }

    /// Rows whose name starts with `prefix`, without counting as a read.
    pub fn rows(&self, prefix: &str) -> Vec<RowState> {
        self.state().table.list(prefix, "", usize::MAX).0
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn switch(&mut self, faults: PlatformFaults) {
        self.vms.freeze(faults.freeze_vms);
        self.faults = faults;
    }

    /// The platform's time in milliseconds since the Unix epoch.
    fn time_ms(&self) -> u64 {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        (now.as_millis() as u64).saturating_add_signed(self.faults.time_offset_ms)
    }
}

/// Serves a platform stand-in until `stop` closes; then every connection is closed at once.
pub async fn serve_platform(listener: TcpListener, platform: Platform, stop: Receiver<()>) {
    let limits = Limits {
        connections: platform.settings.connections,
        body: platform.settings.object_size,
    };
    let handler = move |call| {
        let platform = platform.clone();
        async move { routes::answer(&platform, call).await }
    };
    connection::serve(
        listener,
        limits,
        Arc::new(Counters::default()),
        stop,
        handler,
    )
    .await;
}
