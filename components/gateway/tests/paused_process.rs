//! A process that is paused between the grant of a slot and the sending of the request. The tests
//! block the executor, so they have a process of their own.

#[allow(dead_code)]
#[path = "relay/harness.rs"]
mod harness;

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use harness::{
    EXECUTOR_THREADS, TestEntryVm, TestServer, ok_response, read_response, request, server_entry,
};
use runtime::Clock;

/// Time for which the process is paused. The kernel repeats the opening packet of a connection
/// after one second, within the pause.
const PAUSE: Duration = Duration::from_millis(1600);
/// Time after which a request waits for its connection.
const CONNECTING: Duration = Duration::from_millis(100);

/// A listener whose queue of connections is full, so that connections to it are not opened.
struct FullListener {
    address: SocketAddr,
    listener: TcpListener,
    queued: TcpStream,
}

impl FullListener {
    fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        rustix::net::listen(&listener, 0).unwrap();
        let address = listener.local_addr().unwrap();
        let queued = TcpStream::connect(address).unwrap();
        FullListener {
            address,
            listener,
            queued,
        }
    }

    /// Opens the connections and answers requests.
    fn release(self) -> TestServer {
        self.listener.accept().unwrap();
        drop(self.queued);
        rustix::net::listen(&self.listener, 16).unwrap();
        TestServer::serve(self.listener, |_, id| ok_response(id, "done"))
    }
}

/// When the entry VM learns that the server has announced its stop.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Learned {
    DuringPause,
    AfterPause,
}

/// Sends a binding request to an entry VM that is paused while it connects to the server, which
/// announces its stop meanwhile. Returns the number of requests that the server received.
fn requests_after_pause(learned: Learned) -> usize {
    static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let full = FullListener::start();
    let address = full.address;
    let entry_vm = TestEntryVm::start(&[]);
    entry_vm.node.put_server(server_entry(0, address));
    let announce_stop = || {
        let polled_at = Clock::boot_time();
        entry_vm.node.put_server(dispatch::Server {
            ready: false,
            ..server_entry(0, address)
        });
        entry_vm.node.confirm_servers(polled_at);
    };
    let mut stream = entry_vm.connect();
    stream
        .write_all(&request("POST", "/order/1", "a1"))
        .unwrap();
    thread::sleep(CONNECTING);
    for _ in 0..EXECUTOR_THREADS {
        runtime::spawn(async { thread::sleep(PAUSE) }).detach();
    }
    let server = full.release();
    if learned == Learned::DuringPause {
        thread::sleep(PAUSE / 2);
        announce_stop();
        thread::sleep(PAUSE / 2);
    } else {
        thread::sleep(PAUSE);
    }
    thread::sleep(Duration::from_millis(150));
    announce_stop();
    let (status, head, _) = read_response(&mut stream).expect("response");
    assert_eq!(status, 503, "{head}");
    assert!(head.contains("x-outcome: not-run"), "{head}");
    server.count()
}

/// Guards against a request that reaches a server long after its announced stop, because the
/// process was paused between the grant of the slot and the sending (DRAIN).
#[test]
fn paused_process_sends_nothing_to_a_server_that_left_meanwhile() {
    assert_eq!(requests_after_pause(Learned::DuringPause), 0);
}

/// Guards against the same when the process learns of the stop only after it was resumed: it must
/// not send before the platform has answered.
#[test]
fn resumed_process_sends_nothing_before_its_view_is_confirmed() {
    assert_eq!(requests_after_pause(Learned::AfterPause), 0);
}
