//! Process-wide logger that writes to standard output without blocking the caller.
//!
//! A bounded queue and a rate limit cap the volume; lines beyond them are dropped and counted.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Lines in the queue to the writer thread.
const QUEUE_CAPACITY: usize = 4096;
const MAX_LINES_PER_SECOND: u64 = 500;
/// Longest wait for pending lines when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

static QUEUE: OnceLock<SyncSender<Vec<u8>>> = OnceLock::new();
static PENDING_LINES: AtomicU64 = AtomicU64::new(0);
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
/// Start of the current one-second window and the lines counted in it.
static RATE_WINDOW: Mutex<Option<(Instant, u64)>> = Mutex::new(None);

/// Installs the logger; `RUST_LOG` sets the level, `info` by default.
pub fn install() {
    let (tx, rx) = sync_channel(QUEUE_CAPACITY);
    let spawned = thread::Builder::new()
        .name("logger".to_owned())
        .spawn(move || write_lines(&rx));
    if spawned.is_ok() && QUEUE.set(tx).is_ok() {
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
            .target(env_logger::Target::Pipe(Box::new(QueueWriter)))
            .init();
    }
}

/// Waits until all pending lines are written, or until [`FLUSH_TIMEOUT`] has passed.
pub fn flush() {
    let deadline = Instant::now() + FLUSH_TIMEOUT;
    while PENDING_LINES.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(1));
    }
}

struct QueueWriter;

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let queued = within_rate_limit()
            && QUEUE.get().is_some_and(|tx| {
                PENDING_LINES.fetch_add(1, Ordering::Relaxed);
                let sent = tx.try_send(line.to_vec()).is_ok();
                if !sent {
                    PENDING_LINES.fetch_sub(1, Ordering::Relaxed);
                }
                sent
            });
        if !queued {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("log_lines_dropped_total").increment(1);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Counts a line; returns whether it is within the limit of the current one-second window.
fn within_rate_limit() -> bool {
    let mut window = RATE_WINDOW.lock().unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    let (start, lines) = window.get_or_insert((now, 0));
    if now.duration_since(*start) >= Duration::from_secs(1) {
        (*start, *lines) = (now, 0);
    }
    *lines += 1;
    *lines <= MAX_LINES_PER_SECOND
}

fn write_lines(rx: &Receiver<Vec<u8>>) {
    let mut out = std::io::stdout();
    while let Ok(line) = rx.recv() {
        let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
        let mut written = out.write_all(&line);
        if dropped > 0 {
            written = written.and(writeln!(out, "event=log_lines_dropped count={dropped}"));
        }
        if written.and(out.flush()).is_err() {
            metrics::counter!("log_lines_failed_total").increment(1);
        }
        PENDING_LINES.fetch_sub(1, Ordering::Relaxed);
    }
}
