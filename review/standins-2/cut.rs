//! A cut between one machine and all servers: the connections of its process are held.

use std::fs;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

/// Time between checks for the end of a cut.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Clone, Default)]
pub struct Cut {
    /// Process of the machine; 0 if no machine is to be cut off.
    pid: Arc<AtomicU32>,
    active: Arc<AtomicBool>,
}

impl Cut {
    /// Sets the process whose connections may be cut.
    pub fn set_process(&self, pid: u32) {
        self.pid.store(pid, Ordering::SeqCst);
    }

    pub fn set_active(&self, active: bool) {
        self.active.store(active, Ordering::SeqCst);
    }

    pub fn is_active(&self) -> bool {
        self.active.load(Ordering::SeqCst)
    }

    pub fn wait_for_end(&self) {
        while self.is_active() {
            thread::sleep(CHECK_INTERVAL);
        }
    }

    /// Whether the other end of an accepted connection belongs to the process.
    pub fn is_from_machine(&self, stream: &TcpStream) -> bool {
        let pid = self.pid.load(Ordering::SeqCst);
        if pid == 0 {
            return false;
        }
        let (Ok(peer), Ok(local)) = (stream.peer_addr(), stream.local_addr()) else {
            return false;
        };
        let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let port = |column: &str| u16::from_str_radix(column.rsplit(':').next().unwrap_or(""), 16);
        let socket = table.lines().skip(1).find_map(|line| {
            let columns: Vec<&str> = line.split_whitespace().collect();
            let ours = port(columns.get(1)?) == Ok(peer.port())
                && port(columns.get(2)?) == Ok(local.port());
            ours.then(|| format!("socket:[{}]", columns.get(9).unwrap_or(&"")))
        });
        let Some(socket) = socket else {
            return false;
        };
        let descriptors = fs::read_dir(format!("/proc/{pid}/fd"));
        let mut links = descriptors
            .into_iter()
            .flatten()
            .flatten()
            .map(|d| fs::read_link(d.path()));
        links.any(|link| link.is_ok_and(|l| l.to_string_lossy() == socket))
    }
}
