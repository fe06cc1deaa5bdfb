//! Servers that respond while the request is still being written to them, and then reset or end the connection.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::forward::{RemoteEntryVm, occupy_slots, slow_server};
use crate::harness::{TestEntryVm, TestServer, ok_response};

/// Length of a request body that does not fit into the buffers of a connection.
const UPLOAD_BYTES: usize = 8_000_000;
/// Time within which the caller must have the end of its answer; the routes' timeout is 2 s.
const ANSWER_LIMIT: Duration = Duration::from_secs(3);

/// Number of times each reset without a pause is played, since its outcome depends on what is read when.
const AT_ONCE_REPEATS: usize = 3;

/// How a server responds to an upload.
#[derive(Clone, Copy, Debug)]
struct Script {
    /// Bytes of the request body that it reads first.
    read_bytes: usize,
    /// Bytes of the response body that it sends.
    sent_bytes: usize,
    /// Whether the response states its length; otherwise it ends with the connection.
    states_length: bool,
    /// Whether the response states `Connection: close`.
    states_close: bool,
    /// Time between the last byte and the end.
    pause: Duration,
    end: End,
}

/// How a server ends its connection.
#[derive(Clone, Copy, Debug)]
enum End {
    /// With a reset, as the kernel does for a process that ends with unread input.
    Reset,
    /// In order, after which it reads the rest of the request.
    Drain,
    /// In order, after which it reads nothing and keeps the connection for a while.
    Idle,
    /// In order, directly followed by a reset because of unread input.
    Close,
}

/// Starts a server with this script; returns the number of requests that it has received.
fn start_server(script: Script) -> (TestServer, Arc<AtomicUsize>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let server = TestServer::absent(listener.local_addr().unwrap());
    let received = Arc::new(AtomicUsize::new(0));
    let counter = received.clone();
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            counter.fetch_add(1, Ordering::SeqCst);
            thread::spawn(move || respond(stream, script));
        }
    });
    (server, received)
}

fn respond(mut stream: TcpStream, script: Script) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read_exact(&mut byte).is_err() {
            return;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap();
    let id = crate::harness::header_value(&head, "x-id").unwrap();
    stream.read_exact(&mut vec![0; script.read_bytes]).unwrap();
    let close = if script.states_close {
        "Connection: close\r\n"
    } else {
        ""
    };
    let length = if script.states_length {
        format!("Content-Length: {}\r\n", script.sent_bytes)
    } else {
        String::new()
    };
    let mut bytes =
        format!("HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\n{length}{close}\r\n")
            .into_bytes();
    bytes.extend(body(script.sent_bytes));
    // The entry VM may close the connection before all is written.
    let _ = stream.write_all(&bytes);
    thread::sleep(script.pause);
    match script.end {
        End::Reset => {
            rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
        }
        End::Drain => {
            let _ = stream.shutdown(Shutdown::Write);
            let _ = std::io::copy(&mut stream, &mut std::io::sink());
        }
        End::Idle => {
            let _ = stream.shutdown(Shutdown::Write);
            thread::sleep(Duration::from_millis(300));
        }
        End::Close => {
            let _ = stream.shutdown(Shutdown::Write);
        }
    }
}

/// Returns a response body of `n` bytes.
fn body(n: usize) -> Vec<u8> {
    (0..n).map(|i| b'a' + (i % 23) as u8).collect()
}

/// An answer as a caller sees it.
#[derive(Debug)]
struct CallerAnswer {
    status: u16,
    head: String,
    /// The body; `None` if the answer has not ended as its head says.
    body: Option<Vec<u8>>,
}

/// Sends an upload on a new connection and reads the answer.
fn upload(entry_vm: &TestEntryVm, path: &str, id: &str) -> CallerAnswer {
    let mut stream = entry_vm.connect();
    let head = format!(
        "PUT {path} HTTP/1.1\r\nHost: shop.example\r\nX-Id: {id}\r\nX-Deadline: 2000\r\n\
         Content-Length: {UPLOAD_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&vec![b'u'; UPLOAD_BYTES]).unwrap();
    let begin = Instant::now();
    let answer = read_answer(&mut stream);
    let took = begin.elapsed();
    assert!(took < ANSWER_LIMIT, "{id}: answered after {took:?}");
    answer
}

/// Reads an answer until it has ended as its head says, or the connection has ended.
fn read_answer(stream: &mut TcpStream) -> CallerAnswer {
    let mut bytes = Vec::new();
    let mut buf = vec![0; 65_536];
    loop {
        // A reset ends the answer like an orderly end.
        let n = stream.read(&mut buf).unwrap_or(0);
        bytes.extend_from_slice(&buf[..n]);
        let Some(head_end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
            assert!(n > 0, "the connection ended before the head of an answer");
            continue;
        };
        let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
        let body = decode_body(&head, &bytes[head_end + 4..]);
        if body.is_some() || n == 0 {
            let status = head.split(' ').nth(1).unwrap().parse().unwrap();
            return CallerAnswer { status, head, body };
        }
    }
}

/// Decodes a body; `None` if it is not complete.
fn decode_body(head: &str, mut received: &[u8]) -> Option<Vec<u8>> {
    if let Some(length) = crate::harness::header_value(head, "content-length") {
        let length: usize = length.parse().unwrap();
        return received.get(..length).map(<[u8]>::to_vec);
    }
    assert!(head.contains("Transfer-Encoding: chunked"), "{head}");
    let mut body = Vec::new();
    loop {
        let end = received.windows(2).position(|w| w == b"\r\n")?;
        let size = std::str::from_utf8(&received[..end]).unwrap();
        let size = usize::from_str_radix(size, 16).unwrap();
        let chunk = received.get(end + 2..end + 2 + size)?;
        let rest = received.get(end + 2 + size..)?.strip_prefix(b"\r\n")?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(chunk);
        received = rest;
    }
}

/// Returns the scripts of servers that reset the connection at once and a little later.
fn resets() -> impl Iterator<Item = Script> {
    let sizes = [0, 10, 5_000, 100_000, 400_000].into_iter();
    let variants = sizes.flat_map(|sent_bytes| {
        [(0, false), (65_536, true)].map(|(read_bytes, states_close)| Script {
            read_bytes,
            sent_bytes,
            states_length: false,
            states_close,
            pause: Duration::ZERO,
            end: End::Reset,
        })
    });
    variants.flat_map(|script| {
        let later = Script {
            pause: Duration::from_millis(20),
            ..script
        };
        std::iter::repeat_n(script, AT_ONCE_REPEATS).chain([later])
    })
}

/// Guards against a part of a body that reaches the caller as a complete answer, because the write of the
/// upload has taken the error of the reset and the read then sees an orderly end (MIXED).
#[test]
fn response_reset_during_the_upload_is_not_complete() {
    let mut complete = Vec::new();
    for script in resets() {
        let (server, received) = start_server(script);
        let entry_vm = TestEntryVm::start(&[&server]);
        let answer = upload(&entry_vm, "/order/1", "a1");
        if answer.status == 200 {
            // The start of a long body may have been passed on before the reset.
            complete.extend(answer.body.is_some().then_some(script));
        } else {
            assert_eq!(answer.status, 502, "{script:?}: {}", answer.head);
            let unknown = answer.head.contains("x-outcome: unknown");
            assert!(unknown, "{script:?}: {}", answer.head);
        }
        assert_eq!(received.load(Ordering::SeqCst), 1, "{script:?}: sent again");
    }
    let count = resets().count();
    assert!(
        complete.is_empty(),
        "{} of {count} look complete: {complete:#?}",
        complete.len()
    );
}

/// Guards against a part of a body, or an error, for a read that another server answers.
#[test]
fn read_reset_during_the_upload_gets_the_response_of_another_server() {
    // Of longer bodies, the caller may have the start when the reset arrives.
    for script in resets().filter(|s| s.sent_bytes <= 100_000) {
        let (faulty, received) = start_server(script);
        let good = TestServer::start(|_, id| ok_response(id, "whole body"));
        let entry_vm = TestEntryVm::start(&[&faulty, &good]);
        for i in 0..2 {
            let answer = upload(&entry_vm, "/read/1", &format!("a{i}"));
            assert_eq!(answer.status, 200, "{script:?}: {}", answer.head);
            assert_eq!(
                answer.body.as_deref(),
                Some(&b"whole body"[..]),
                "{script:?}"
            );
        }
        assert!(received.load(Ordering::SeqCst) > 0, "{script:?}");
    }
}

/// Guards against the same for a response of an entry VM of another region.
#[test]
fn forwarded_response_reset_during_the_upload_is_not_complete() {
    let at_once = resets().filter(|s| s.sent_bytes <= 100_000 && s.pause.is_zero());
    // Each variant once, since the slots have to be taken before.
    for script in at_once.step_by(AT_ONCE_REPEATS) {
        let local = slow_server();
        let (remote, received) = start_server(script);
        let entry_vm = TestEntryVm::start(&[&local]);
        let callers = occupy_slots(&entry_vm, &local, entry_vm.callers);
        let _remote = RemoteEntryVm::start_in("west", "alpen", &entry_vm, &remote);
        thread::sleep(Duration::from_millis(200));
        let answer = upload(&entry_vm, "/order/1", "a1");
        assert_eq!(answer.status, 502, "{script:?}: {}", answer.head);
        assert_eq!(received.load(Ordering::SeqCst), 1, "{script:?}: sent again");
        for caller in callers {
            caller.join().unwrap();
        }
    }
}

/// Guards against losing a response that ends in order while the upload is still being written, also if the
/// server resets the connection after its end.
#[test]
fn response_that_ends_in_order_during_the_upload_is_complete() {
    let cases = [
        (End::Drain, 400_000),
        (End::Drain, 10),
        (End::Drain, 0),
        (End::Idle, 400_000),
        (End::Idle, 10),
        // Longer ones could be cut by the reset before they are sent.
        (End::Close, 5_000),
        (End::Close, 10),
        (End::Close, 0),
    ];
    for (end, sent_bytes) in cases {
        for (read_bytes, pause_ms) in [(0, 0), (0, 0), (65_536, 0), (65_536, 0), (0, 20)] {
            let script = Script {
                read_bytes,
                sent_bytes,
                states_length: false,
                states_close: read_bytes == 0,
                pause: Duration::from_millis(pause_ms),
                end,
            };
            let (server, received) = start_server(script);
            let entry_vm = TestEntryVm::start(&[&server]);
            let answer = upload(&entry_vm, "/order/1", "a1");
            assert_eq!(answer.status, 200, "{script:?}: {}", answer.head);
            assert!(
                answer.body == Some(body(sent_bytes)),
                "{script:?}: other body"
            );
            assert_eq!(received.load(Ordering::SeqCst), 1, "{script:?}: sent again");
        }
    }
}

/// Guards against losing a response with a length that was complete before the reset.
#[test]
fn response_with_a_length_is_complete_before_a_reset_during_the_upload() {
    for script in resets().filter(|s| s.sent_bytes <= 5_000) {
        let script = Script {
            states_length: true,
            ..script
        };
        let (server, received) = start_server(script);
        let entry_vm = TestEntryVm::start(&[&server]);
        let answer = upload(&entry_vm, "/order/1", "a1");
        assert_eq!(answer.status, 200, "{script:?}: {}", answer.head);
        assert!(
            answer.body == Some(body(script.sent_bytes)),
            "{script:?}: other body"
        );
        assert_eq!(received.load(Ordering::SeqCst), 1, "{script:?}: sent again");
    }
}
