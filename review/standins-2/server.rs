//! Stand-in for a server: it runs requests in its slots, queues a few more and refuses the rest.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::cut::Cut;
use crate::http::{Connection, Message, answer};
use crate::record::{Event, Record};

/// Requests that wait for a slot at most.
const MAX_WAITING: u32 = 9;
/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A server of one incarnation.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    /// Unix millisecond of its start.
    born: u128,
    work: Duration,
    /// Idle timeout that its answers state, in seconds.
    idle_timeout_s: Arc<AtomicU64>,
    cut: Cut,
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

#[derive(Default)]
struct State {
    running: u32,
    waiting: u32,
    /// Whether it has exited.
    ended: bool,
    open: Vec<TcpStream>,
}

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        work: Duration,
        cut: &Cut,
        record: &Record,
    ) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let since = std::time::SystemTime::UNIX_EPOCH;
        let server = Server {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            address: listener.local_addr().expect("an address"),
            slots,
            born: since.elapsed().map_or(0, |d| d.as_millis()),
            work,
            idle_timeout_s: Arc::new(AtomicU64::new(IDLE_TIMEOUT.as_secs())),
            cut: cut.clone(),
            state: Arc::default(),
            record: record.clone(),
        };
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut state = accepting.state.0.lock().unwrap();
                if state.ended {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    state.open.push(copy);
                }
                drop(state);
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Value of its row in the store.
    pub fn row(&self, state: &str, sequence: u32) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold-remaining-s\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.slots, self.born
        )
    }

    /// Sets the idle timeout that its answers state.
    pub fn state_idle_timeout(&self, seconds: u64) {
        self.idle_timeout_s.store(seconds, Ordering::SeqCst);
    }

    /// Exits: what it runs is lost.
    pub fn exit(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.ended = true;
        for stream in state.open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        self.state.1.notify_all();
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.address);
    }

    fn serve(&self, stream: TcpStream) {
        let may_be_cut = self.cut.is_from_machine(&stream);
        let mut connection = Connection::new(stream);
        loop {
            let request = connection.read(Some(Instant::now() + IDLE_TIMEOUT));
            let Ok(Some(request)) = request else {
                return;
            };
            if may_be_cut && self.cut.is_active() {
                // Nothing that was sent during the cut is delivered after it.
                self.cut.wait_for_end();
                let _ = connection.stream.shutdown(Shutdown::Both);
                return;
            }
            let Some(reply) = self.handle(&request) else {
                return;
            };
            let (bytes, keep) = reply;
            if connection.write(&bytes).is_err() || !keep {
                let _ = connection.stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Returns the answer and whether the connection stays open; `None` if the server has exited.
    fn handle(&self, request: &Message) -> Option<(Vec<u8>, bool)> {
        let id = request.get("x-request-id").unwrap_or("").to_owned();
        if request.word(1) == "/health" {
            return Some((answer("200 OK", &[("X-Instance-Id", &self.id)], b""), true));
        }
        if request
            .get("x-expected-instance")
            .is_some_and(|i| i != self.id)
        {
            self.record.add(Event::Misdirected, &id, &self.id);
            let headers = [("X-Request-Id", &*id), ("X-Instance-Id", &*self.id)];
            return Some((answer("421 Misdirected Request", &headers, b""), true));
        }
        self.record.add(Event::Arrived, &id, &self.id);
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        if state.running >= self.slots {
            if state.waiting >= MAX_WAITING {
                drop(state);
                self.record.add(Event::Refused, &id, &self.id);
                let headers = [("X-Request-Id", &*id), ("X-Not-Executed", "1")];
                return Some((answer("503 Service Unavailable", &headers, b""), true));
            }
            state.waiting += 1;
            while state.running >= self.slots && !state.ended {
                state = changed.wait(state).unwrap();
            }
            state.waiting -= 1;
        }
        if state.ended {
            return None;
        }
        state.running += 1;
        drop(state);
        self.record.add(Event::Ran, &id, &self.id);
        thread::sleep(self.work);
        let mut state = lock.lock().unwrap();
        state.running -= 1;
        let load = format!("{},{},{}", state.running, state.waiting, self.slots);
        let ended = state.ended;
        drop(state);
        changed.notify_one();
        if ended {
            self.record.add(Event::Lost, &id, &self.id);
            return None;
        }
        let body = format!("{id} {}", self.id);
        let seal = format!("{}.{id}", self.id);
        let keep_alive = format!("timeout={}", self.idle_timeout_s.load(Ordering::SeqCst));
        let headers = [
            ("X-Request-Id", &*id),
            ("X-Server-Seal", &*seal),
            ("X-Server-Load", &*load),
            ("Keep-Alive", &*keep_alive),
        ];
        self.record.add(Event::Answered, &id, &self.id);
        Some((answer("200 OK", &headers, body.as_bytes()), true))
    }
}
