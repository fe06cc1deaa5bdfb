//! Process-wide task executor.

use std::future::{Future, poll_fn};
use std::panic::AssertUnwindSafe;
use std::sync::OnceLock;
use std::task::{Context, Poll};
use std::thread;
use std::time::Duration;

use async_executor::{Executor, Task};
use futures_lite::FutureExt;

use crate::logger;

/// Exit code after a panic, the same as that of a panic on the main thread.
const EXIT_PANICKED: i32 = 101;

static EXECUTOR: Executor<'static> = Executor::new();
/// Executor with a thread of its own, so that its tasks do not wait behind requests.
static CONTROL: Executor<'static> = Executor::new();

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

/// Spawns a task that keeps this process up to date, such as replication of configurations, on a
/// thread that handles no requests. Dropping the handle cancels the task; a panic ends the process.
pub fn spawn_control<T: Send + 'static>(fut: impl Future<Output = T> + Send + 'static) -> Task<T> {
    static STARTED: OnceLock<bool> = OnceLock::new();
    let started = *STARTED.get_or_init(|| {
        let run = || async_io::block_on(CONTROL.run(futures_lite::future::pending::<()>()));
        let spawned = thread::Builder::new().name("control".to_owned()).spawn(run);
        if let Err(e) = &spawned {
            log::warn!("event=thread_failed thread=control error=\"{e}\"");
        }
        spawned.is_ok()
    });
    let fut = end_process_on_panic(fut);
    if started {
        CONTROL.spawn(fut)
    } else {
        EXECUTOR.spawn(fut)
    }
}

/// Spawns a task that this process cannot work without, such as a listener. A panic ends the
/// process.
pub fn spawn_service(fut: impl Future<Output = ()> + Send + 'static) {
    EXECUTOR.spawn(end_process_on_panic(fut)).detach();
}

/// Runs `fut` and ends the process if it panics. The executor would drop the task, and the process
/// would go on without it.
async fn end_process_on_panic<T>(fut: impl Future<Output = T>) -> T {
    if let Ok(value) = AssertUnwindSafe(fut).catch_unwind().await {
        return value;
    }
    log::error!("event=task_panicked");
    logger::flush();
    std::process::exit(EXIT_PANICKED);
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

/// Yields to other tasks after a number of steps, in loops whose operations may never suspend: a
/// socket with waiting input is read without a return to the executor.
#[derive(Debug, Default)]
pub struct YieldBudget {
    steps: u32,
}

impl YieldBudget {
    /// Steps between two yields.
    const STEPS: u32 = 16;

    /// Counts a step, and yields if the budget is used up.
    pub async fn step(&mut self) {
        poll_fn(|cx| self.poll_step(cx)).await;
    }

    /// Counts a step; pending once if the budget is used up.
    pub fn poll_step(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.steps < Self::STEPS {
            self.steps += 1;
            return Poll::Ready(());
        }
        self.steps = 0;
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}
