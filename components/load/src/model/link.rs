//! A link of one entry VM, to clients or to a region.

use std::time::Duration;

use config::Class;
use limits::pacing::{Lane, Pacer, PopResult, Settings};

/// A response, or what is left of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Remainder {
    /// Request that it answers.
    pub request: u32,
    /// Class of the request.
    pub class: Class,
    /// Entry VM that sends it.
    pub from: usize,
    /// Link of that VM: 0 to clients, else to a region.
    pub to: usize,
    /// Bytes sent.
    pub sent: u64,
    /// Length of the response.
    pub bytes: u64,
}

impl Remainder {
    fn chunk(&self) -> u64 {
        let lane = Lane::of(self.class, self.sent);
        lane.chunk_bytes().min(self.bytes - self.sent)
    }
}

/// What the link does next.
#[derive(Debug, PartialEq, Eq)]
pub enum Next {
    /// A chunk of so many bytes is on the wire until this time; its response has this left.
    Sent(Duration, Remainder, u64),
    /// Ask again at this time.
    At(Duration),
    /// Nothing to send.
    Idle,
}

/// A link of one entry VM.
#[derive(Debug)]
pub struct Link {
    rate: u64,
    free_at: Duration,
    pacer: Pacer<Remainder>,
    /// When the pacer is asked again, if it is.
    pub asked_at: Option<Duration>,
}

impl Link {
    /// Creates an idle link.
    pub fn new(rate: u64) -> Self {
        let settings = Settings {
            bytes_per_second: rate,
            ..Settings::default()
        };
        Link {
            rate,
            free_at: Duration::ZERO,
            pacer: Pacer::new(settings, Duration::ZERO),
            asked_at: None,
        }
    }

    /// Sends bytes after all others; returns when they are on the wire.
    pub fn send(&mut self, now: Duration, bytes: u64) -> Duration {
        let time = Duration::from_secs_f64(bytes as f64 / self.rate as f64);
        self.free_at = self.free_at.max(now) + time;
        self.free_at
    }

    /// Offers the next chunk of a response to the pacer.
    pub fn offer(&mut self, response: Remainder) {
        let lane = Lane::of(response.class, response.sent);
        self.pacer.push(lane, response.chunk(), response);
    }

    /// Sends the next chunk if the pacer allows it.
    pub fn next(&mut self, now: Duration) -> Next {
        match self.pacer.pop(now) {
            PopResult::Send(mut response) => {
                let chunk = response.chunk();
                response.sent += chunk;
                Next::Sent(self.send(now, chunk), response, chunk)
            }
            PopResult::Wait(wait) => Next::At(now + wait),
            PopResult::Idle => Next::Idle,
        }
    }
}
