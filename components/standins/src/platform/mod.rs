//! Stand-in for the platform: table service, object store and VM list in memory.

mod faults;
mod handler;
mod objects;
mod table;
mod vms;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_channel::Receiver;
use async_net::TcpListener;
use serde::Serialize;

pub use faults::{ObjectFault, PlatformFaults};
pub use table::{Precondition, Put, Row};
pub use vms::{VmRecord, VmState};

use crate::connection::{self, ConnectionCounters, ListenerLimits};
use objects::ObjectStore;
use table::Table;
use vms::VmList;

#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Delay until a change of the VM list becomes visible.
    pub vm_list_lag: Duration,
    pub max_rows: usize,
    /// Total size of all objects.
    pub max_stored_bytes: u64,
    /// Size of a single object, and of every other request body.
    pub max_object_bytes: u64,
    pub max_connections: usize,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        PlatformSettings {
            vm_list_lag: Duration::from_secs(2),
            max_rows: 200_000,
            max_stored_bytes: 512 << 20,
            max_object_bytes: 32 << 20,
            max_connections: 2_000,
        }
    }
}

/// Request counters since the start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PlatformStats {
    /// Reads of single rows and row lists.
    pub table_reads: u64,
    /// Transactions, committed or not.
    pub transactions: u64,
    /// Transactions rejected because a precondition failed.
    pub conflicts: u64,
    pub object_reads: u64,
    pub object_writes: u64,
    /// Reads of the VM list.
    pub vm_reads: u64,
    /// Writes that took effect and whose response was dropped.
    pub lost_answers: u64,
    /// Writes that were dropped before they took effect.
    pub lost_requests: u64,
    /// Requests dropped while the platform was down.
    pub dropped: u64,
}

/// Handle of a platform stand-in; clones share its state.
#[derive(Clone)]
pub struct Platform {
    settings: Arc<PlatformSettings>,
    state: Arc<Mutex<State>>,
}

struct State {
    faults: PlatformFaults,
    stats: PlatformStats,
    table: Table,
    objects: ObjectStore,
    vms: VmList,
}

impl Platform {
    /// Creates a platform without rows, objects and VMs.
    pub fn new(settings: PlatformSettings) -> Platform {
        let state = State {
            faults: PlatformFaults::default(),
            stats: PlatformStats::default(),
            table: Table::new(settings.max_rows),
            objects: ObjectStore::new(settings.max_stored_bytes),
            vms: VmList::new(settings.vm_list_lag),
        };
        Platform {
            settings: Arc::new(settings),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Changes the active faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        let mut state = self.state();
        let mut faults = state.faults.clone();
        change(&mut faults);
        state.replace_faults(faults);
    }

    pub fn stats(&self) -> PlatformStats {
        self.state().stats.clone()
    }

    /// Adds a VM or changes its state; visible after `vm_list_lag`.
    pub fn put_vm(&self, id: &str, vm_state: VmState) {
        self.state().vms.record_change(id, Some(vm_state));
    }

    /// Removes a VM; visible after `vm_list_lag`.
    pub fn remove_vm(&self, id: &str) {
        self.state().vms.record_change(id, None);
    }

    /// Returns the rows whose name starts with `prefix`; not counted in the stats.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        self.state().table.list(prefix, "", usize::MAX).0
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn replace_faults(&mut self, faults: PlatformFaults) {
        self.vms.set_frozen(faults.freeze_vms);
        self.faults = faults;
    }

    /// Returns the platform time in milliseconds since the Unix epoch.
    fn time_ms(&self) -> u64 {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        (now.as_millis() as u64).saturating_add_signed(self.faults.time_offset_ms)
    }
}

/// Serves a platform stand-in until the channel `stop` is closed; then closes every connection at
/// once.
pub async fn serve_platform(listener: TcpListener, platform: Platform, stop: Receiver<()>) {
    let limits = ListenerLimits {
        max_connections: platform.settings.max_connections,
        max_body_bytes: platform.settings.max_object_bytes,
    };
    let handler = move |request| {
        let platform = platform.clone();
        async move { handler::handle_request(&platform, request).await }
    };
    connection::serve(
        listener,
        limits,
        Arc::new(ConnectionCounters::default()),
        stop,
        handler,
    )
    .await;
}
