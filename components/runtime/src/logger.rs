//! The process-wide logger: lines to standard output, bounded in volume, never blocking the caller.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Lines that wait to be written.
const QUEUED_LINES: usize = 4096;
/// Lines a second that are written at most; others are counted and dropped.
const LINES_PER_SECOND: u64 = 500;
/// Time that a process waits at its end for its last lines.
const FLUSH_LIMIT: Duration = Duration::from_millis(100);

static QUEUE: OnceLock<SyncSender<Vec<u8>>> = OnceLock::new();
static WAITING: AtomicU64 = AtomicU64::new(0);
static DROPPED: AtomicU64 = AtomicU64::new(0);
static SECOND: Mutex<Option<(Instant, u64)>> = Mutex::new(None);

/// Installs the logger; `RUST_LOG` sets the level, `info` by default.
pub fn install() {
    let (tx, rx) = sync_channel(QUEUED_LINES);
    let spawned = thread::Builder::new()
        .name("logger".to_owned())
        .spawn(move || write_lines(&rx));
    if spawned.is_ok() && QUEUE.set(tx).is_ok() {
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
            .target(env_logger::Target::Pipe(Box::new(Queue)))
            .init();
    }
}

/// Waits until the lines so far are written, for a short time at most.
pub fn flush() {
    let end = Instant::now() + FLUSH_LIMIT;
    while WAITING.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        thread::sleep(Duration::from_millis(1));
    }
}

struct Queue;

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let queued = allowed()
            && QUEUE.get().is_some_and(|tx| {
                WAITING.fetch_add(1, Ordering::Relaxed);
                let sent = tx.try_send(line.to_vec()).is_ok();
                if !sent {
                    WAITING.fetch_sub(1, Ordering::Relaxed);
                }
                sent
            });
        if !queued {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("log_lines_dropped_total").increment(1);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Counts a line; returns whether the second has room for it.
fn allowed() -> bool {
    let mut second = SECOND.lock().unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    let (start, lines) = second.get_or_insert((now, 0));
    if now.duration_since(*start) >= Duration::from_secs(1) {
        (*start, *lines) = (now, 0);
    }
    *lines += 1;
    *lines <= LINES_PER_SECOND
}

fn write_lines(rx: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    while let Ok(line) = rx.recv() {
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        let mut written = out.write_all(&line);
        if dropped > 0 {
            written = written.and(writeln!(out, "event=log_lines_dropped count={dropped}"));
        }
        if written.and(out.flush()).is_err() {
            metrics::counter!("log_lines_failed_total").increment(1);
        }
        WAITING.fetch_sub(1, Ordering::Relaxed);
    }
}
