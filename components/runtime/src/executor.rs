//! Process-wide task executor.

use std::future::Future;
use std::thread;
use std::time::Duration;

use async_executor::{Executor, Task};
use futures_lite::FutureExt;

static EXECUTOR: Executor<'static> = Executor::new();

/// Runs `fut` to completion on the current thread; `threads` threads in total, at least this one,
/// run spawned tasks.
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

/// Spawns a task on the executor; dropping the handle cancels the task.
pub fn spawn<T: Send + 'static>(fut: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.spawn(fut)
}

/// Runs `fut` for at most `limit`; returns `None` on timeout.
pub async fn timeout<T>(limit: Duration, fut: impl Future<Output = T>) -> Option<T> {
    async { Some(fut.await) }
        .or(async {
            async_io::Timer::after(limit).await;
            None
        })
        .await
}
