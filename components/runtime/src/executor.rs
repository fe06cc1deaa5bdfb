//! The process-wide executor.

use std::future::Future;
use std::thread;
use std::time::Duration;

use async_executor::{Executor, Task};
use futures_lite::FutureExt;

static EXECUTOR: Executor<'static> = Executor::new();

/// Runs `fut` to its end while `threads` threads (at least one) drive spawned tasks.
pub fn block_on<T>(threads: usize, fut: impl Future<Output = T>) -> T {
    for i in 1..threads {
        let name = format!("executor-{i}");
        let spawned = thread::Builder::new()
            .name(name)
            .spawn(|| async_io::block_on(EXECUTOR.run(futures_lite::future::pending::<()>())));
        if let Err(e) = spawned {
            log::warn!("event=thread_failed thread={i} error=\"{e}\"");
        }
    }
    async_io::block_on(EXECUTOR.run(fut))
}

/// Starts a task on the executor; dropping the handle cancels it.
pub fn spawn<T: Send + 'static>(fut: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.spawn(fut)
}

/// Runs `fut` for at most `limit`; returns `None` when the time is up.
pub async fn timeout<T>(limit: Duration, fut: impl Future<Output = T>) -> Option<T> {
    async { Some(fut.await) }
        .or(async {
            async_io::Timer::after(limit).await;
            None
        })
        .await
}
