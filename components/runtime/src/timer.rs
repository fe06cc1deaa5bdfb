//! Periodic timers and sleeping.

use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};

use crate::clock::Clock;
use crate::executor::spawn_service;

/// Delay of a tick from which it is logged.
const LOGGED_DELAY: Duration = Duration::from_millis(200);
/// Shortest time between two logged delays.
const DELAY_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Sends the uptime to each subscriber at the subscriber's period.
#[derive(Clone, Debug)]
pub struct TimerService {
    /// Sends new subscriptions; the service ends when this channel closes.
    tx: Sender<Subscription>,
}

struct Subscription {
    period: Duration,
    /// When the next tick is due.
    next: Instant,
    /// Delivers the uptime to the subscriber.
    tx: Sender<Duration>,
}

impl TimerService {
    /// Spawns the timer task on the executor.
    pub fn start(clock: Clock) -> Self {
        let (tx, rx) = async_channel::unbounded();
        spawn_service(run(clock, rx));
        TimerService { tx }
    }

    /// Subscribes to periodic ticks; a tick is dropped while the previous one is still unread.
    ///
    /// Dropping the receiver ends the subscription.
    pub fn subscribe(&self, period: Duration) -> Receiver<Duration> {
        let (tx, rx) = async_channel::bounded(1);
        let next = Instant::now() + period;
        // The channel is unbounded, so sending fails only after the service has ended.
        let _ = self.tx.try_send(Subscription { period, next, tx });
        rx
    }
}

async fn run(clock: Clock, rx: Receiver<Subscription>) {
    let mut subscriptions: Vec<Subscription> = Vec::new();
    let mut next_log = Instant::now();
    loop {
        let next = subscriptions.iter().map(|s| s.next).min();
        let received = match next {
            Some(at) => receive_until(&rx, at).await,
            None => Some(rx.recv().await),
        };
        match received {
            Some(Ok(subscription)) => subscriptions.push(subscription),
            Some(Err(_)) => return,
            None => {
                if let Some(due) = next {
                    record_delay(due, &mut next_log);
                }
                send_ticks(&mut subscriptions, clock.uptime());
            }
        }
    }
}

/// Waits for a subscription until `at`; returns `None` if none arrives by then.
async fn receive_until(
    rx: &Receiver<Subscription>,
    at: Instant,
) -> Option<Result<Subscription, async_channel::RecvError>> {
    use futures_lite::FutureExt;
    async { Some(rx.recv().await) }
        .or(async {
            async_io::Timer::at(at).await;
            None
        })
        .await
}

/// Records how late the executor runs a tick. All tasks of a busy executor wait about as long.
fn record_delay(due: Instant, next_log: &mut Instant) {
    let now = Instant::now();
    let delay = now.saturating_duration_since(due);
    metrics::histogram!("runtime_tick_delay_seconds").record(delay.as_secs_f64());
    if delay >= LOGGED_DELAY && now >= *next_log {
        *next_log = now + DELAY_LOG_INTERVAL;
        log::warn!("event=executor_delayed delay_ms={}", delay.as_millis());
    }
}

fn send_ticks(subscriptions: &mut Vec<Subscription>, uptime: Duration) {
    let now = Instant::now();
    subscriptions.retain_mut(|s| {
        if s.next > now {
            return true;
        }
        s.next = now + s.period;
        !matches!(
            s.tx.try_send(uptime),
            Err(async_channel::TrySendError::Closed(_))
        )
    });
}

pub async fn sleep(duration: Duration) {
    async_io::Timer::after(duration).await;
}
