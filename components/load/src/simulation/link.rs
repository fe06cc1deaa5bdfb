//! Outgoing link of an entry VM, to callers or to a region.

use std::time::Duration;

use config::Class;
use limits::pacing::{Lane, Pacer, PopResult, Settings};

/// A response that is sent in chunks, with its progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingResponse {
    pub request: u32,
    pub class: Class,
    /// Index of the entry VM that sends it.
    pub from: usize,
    /// Index into [`Vm::links`](super::vm::Vm::links) of that VM.
    pub to: usize,
    /// Bytes sent so far.
    pub sent: u64,
    /// Bytes of the whole response.
    pub bytes: u64,
}

impl PendingResponse {
    fn chunk(&self) -> u64 {
        let lane = Lane::of(self.class, self.sent);
        lane.chunk_bytes().min(self.bytes - self.sent)
    }
}

/// Result of [`Link::poll`].
#[derive(Debug, PartialEq, Eq)]
pub enum LinkAction {
    /// A chunk was sent: time at which its last byte leaves, response after the chunk, bytes of the
    /// chunk.
    Sent(Duration, PendingResponse, u64),
    /// The pacer allows the next chunk at this time.
    WaitUntil(Duration),
    /// No chunks are waiting.
    Idle,
}

/// A link with a limited rate in bytes per second.
#[derive(Debug)]
pub struct Link {
    rate: u64,
    free_at: Duration,
    pacer: Pacer<PendingResponse>,
    /// Time of the scheduled call of [`Link::poll`], if any.
    pub wake_at: Option<Duration>,
}

impl Link {
    pub fn new(rate: u64) -> Self {
        let settings = Settings {
            bytes_per_second: rate,
            ..Settings::default()
        };
        Link {
            rate,
            free_at: Duration::ZERO,
            pacer: Pacer::new(settings, Duration::ZERO),
            wake_at: None,
        }
    }

    /// Sends bytes after those sent before; returns when the last one has left.
    pub fn send(&mut self, now: Duration, bytes: u64) -> Duration {
        let time = Duration::from_secs_f64(bytes as f64 / self.rate as f64);
        self.free_at = self.free_at.max(now) + time;
        self.free_at
    }

    /// Queues the next chunk of a response in the pacer.
    pub fn offer(&mut self, response: PendingResponse) {
        let lane = Lane::of(response.class, response.sent);
        self.pacer.push(lane, response.chunk(), response);
    }

    /// Sends the next chunk if the pacer allows it.
    pub fn poll(&mut self, now: Duration) -> LinkAction {
        match self.pacer.pop(now) {
            PopResult::Send(mut response) => {
                let chunk = response.chunk();
                response.sent += chunk;
                LinkAction::Sent(self.send(now, chunk), response, chunk)
            }
            PopResult::Wait(wait) => LinkAction::WaitUntil(now + wait),
            PopResult::Idle => LinkAction::Idle,
        }
    }
}
