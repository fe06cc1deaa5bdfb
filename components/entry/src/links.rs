//! Rate limits for the bytes that this entry VM sends to other regions.
//!
//! Each entry VM of a region gets an equal share of each link's limit, so that together they never
//! exceed it, without coordination.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use config::{Class, RegionId};
use futures_lite::{AsyncBufRead, AsyncRead, FutureExt, Stream, io};
use http::{Body, Response};
use limits::pacing::{Lane, Pacer, PopResult, Settings};

use crate::in_force::InForce;
use crate::node::Node;

/// Longest interval between two checks of the queued chunks.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Links from the region of this entry VM.
pub struct Links {
    /// Queued chunks per destination region.
    pacers: Mutex<BTreeMap<RegionId, Pacer<Sender<()>>>>,
    /// Wakes `run` when a chunk is queued.
    wake: (Sender<()>, Receiver<()>),
}

impl Default for Links {
    fn default() -> Self {
        Links {
            pacers: Mutex::new(BTreeMap::new()),
            wake: async_channel::bounded(1),
        }
    }
}

impl Links {
    /// Applies the link limits of a configuration.
    pub fn adopt(&self, cfg: &InForce, region: &str, now: Duration) {
        let inventory = &cfg.configuration.inventory;
        let vms = inventory
            .entry_vms
            .iter()
            .filter(|v| cfg.region(&v.domain).is_some_and(|r| **r == *region));
        let vms = vms.count().max(1) as u64;
        let mut pacers = self.lock();
        for link in inventory.links.iter().filter(|l| *l.from == *region) {
            let bytes_per_second = link.bytes_per_second / vms;
            pacers
                .entry(link.to.clone())
                .or_insert_with(|| {
                    Pacer::new(
                        Settings {
                            bytes_per_second,
                            ..Settings::default()
                        },
                        now,
                    )
                })
                .set_rate(now, bytes_per_second);
        }
    }

    /// Queues a chunk for a region; the receiver gets a message when the chunk may be sent.
    ///
    /// Returns `None` if no limit is configured for the link to the region.
    fn enqueue(&self, to: &str, lane: Lane, bytes: u64) -> Option<Receiver<()>> {
        let (tx, rx) = async_channel::bounded(1);
        self.lock().get_mut(to)?.push(lane, bytes, tx);
        // A full channel means that `run` has a wake-up pending.
        let _ = self.wake.0.try_send(());
        Some(rx)
    }

    /// Waits until bytes may be sent to a region.
    pub async fn wait_to_send(&self, to: &str, class: Class, bytes: u64) {
        if let Some(rx) = self.enqueue(to, Lane::of(class, 0), bytes) {
            // The channel closes early only at process end.
            let _ = rx.recv().await;
        }
    }

    /// Releases the chunks that are due; returns the time until the next one.
    fn release_due(&self, now: Duration) -> Duration {
        let mut next = MAX_POLL_INTERVAL;
        for pacer in self.lock().values_mut() {
            loop {
                match pacer.pop(now) {
                    // A closed channel means that the caller has disconnected; nothing is sent.
                    PopResult::Send(tx) => drop(tx.try_send(())),
                    PopResult::Wait(wait) => {
                        next = next.min(wait);
                        break;
                    }
                    PopResult::Idle => break,
                }
            }
        }
        next
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<RegionId, Pacer<Sender<()>>>> {
        self.pacers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Releases queued chunks until the process ends.
pub async fn run(node: Arc<Node>) {
    loop {
        let wait = node.links.release_due(node.now());
        let woken = async { node.links.wake.1.recv().await.is_ok() };
        let elapsed = async {
            runtime::sleep(wait).await;
            true
        };
        if !woken.or(elapsed).await {
            return;
        }
    }
}

/// Limits the rate of a response body that is sent to another region.
pub fn pace(node: &Arc<Node>, mut res: Response, to: &RegionId, class: Class) -> Response {
    let len = res.len();
    let body = res.take_body();
    let paced = PacedBody {
        body,
        node: node.clone(),
        to: to.clone(),
        class,
        sent: 0,
        granted: 0,
        waiting: None,
    };
    res.set_body(Body::from_reader(paced, len));
    res
}

/// Body whose chunks are sent at the rate of the link.
struct PacedBody {
    body: Body,
    node: Arc<Node>,
    /// Destination region.
    to: RegionId,
    class: Class,
    /// Bytes that the reader has consumed.
    sent: u64,
    /// Bytes that the reader may consume now.
    granted: usize,
    /// Receiver of the pending grant, and its size in bytes.
    waiting: Option<(Pin<Box<Receiver<()>>>, usize)>,
}

impl PacedBody {
    /// Waits for a grant for the next available bytes of the body.
    fn poll_grant(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.granted == 0 {
            if let Some((rx, bytes)) = &mut self.waiting {
                ready!(rx.as_mut().poll_next(cx));
                self.granted = *bytes;
                self.waiting = None;
                return Poll::Ready(Ok(()));
            }
            let available = ready!(Pin::new(&mut self.body).poll_fill_buf(cx))?.len();
            if available == 0 {
                return Poll::Ready(Ok(()));
            }
            let lane = Lane::of(self.class, self.sent);
            let max_bytes = usize::try_from(lane.chunk_bytes()).unwrap_or(usize::MAX);
            let bytes = available.min(max_bytes);
            match self.node.links.enqueue(&self.to, lane, bytes as u64) {
                Some(rx) => self.waiting = Some((Box::pin(rx), bytes)),
                None => self.granted = bytes,
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncBufRead for PacedBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        ready!(this.poll_grant(cx))?;
        let granted = this.granted;
        let buf = ready!(Pin::new(&mut this.body).poll_fill_buf(cx))?;
        Poll::Ready(Ok(&buf[..buf.len().min(granted)]))
    }

    fn consume(mut self: Pin<&mut Self>, amt: usize) {
        self.granted = self.granted.saturating_sub(amt);
        self.sent += amt as u64;
        Pin::new(&mut self.body).consume(amt);
    }
}

impl AsyncRead for PacedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = ready!(self.as_mut().poll_fill_buf(cx))?;
        let n = available.len().min(buf.len());
        buf[..n].copy_from_slice(&available[..n]);
        self.consume(n);
        Poll::Ready(Ok(n))
    }
}
