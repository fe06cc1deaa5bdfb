//! Log lines from which a refusal or a broken response can be traced to its cause. The tests have a process of
//! their own, because the logger is set once for each process.

#[allow(dead_code)] // Only a part of the harness is used here.
#[path = "relay/harness.rs"]
mod harness;

use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener};
use std::sync::{Mutex, Once, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use harness::{ServerAction, TestEntryVm, TestServer, header_value, ok_response, shed_response};
use log::{LevelFilter, Log, Metadata, Record};

static LOGGER: CollectingLogger = CollectingLogger(Mutex::new(Vec::new()));

/// Logger that keeps all lines.
struct CollectingLogger(Mutex<Vec<String>>);

impl Log for CollectingLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        println!("{}", record.args());
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(record.args().to_string());
    }

    fn flush(&self) {}
}

fn set_logger() {
    static SET: Once = Once::new();
    SET.call_once(|| {
        log::set_logger(&LOGGER).expect("set logger");
        log::set_max_level(LevelFilter::Info);
    });
}

/// Returns the error in the first line with this event and request id.
fn logged_error(event: &str, id: &str) -> Option<String> {
    let lines = LOGGER.0.lock().unwrap_or_else(PoisonError::into_inner);
    let start = format!("event={event} id={id} ");
    let line = lines.iter().find(|l| l.starts_with(&start))?;
    let (_, error) = line.split_once("error=\"")?;
    error.split('"').next().map(str::to_owned)
}

/// Returns the value of a key in the first line with this event and request id.
fn logged(event: &str, id: &str, key: &str) -> Option<String> {
    let lines = LOGGER.0.lock().unwrap_or_else(PoisonError::into_inner);
    let start = format!("event={event} id={id} ");
    let line = lines.iter().find(|l| l.starts_with(&start))?;
    let prefix = format!("{key}=");
    let value = line.split(' ').find_map(|pair| pair.strip_prefix(&prefix));
    value.map(str::to_owned)
}

/// Guards against a log that shows neither whether a server stated that it has not run a request, nor
/// whether the request had been sent on its connection before, and whether a skipped answer is a copy of an earlier one.
#[test]
fn log_tells_copies_of_refusals_from_refusals() {
    // The order is refused, comes back and runs; the refusal is copied into the connection on which it
    // was sent, when that one carries the next request.
    let server = TestServer::start(|n, id| {
        let mut actions: Vec<ServerAction> = Vec::new();
        match n {
            0 => return shed_response(id),
            2 => actions.extend(shed_response("order")),
            3 => {
                let bare = format!("HTTP/1.1 429 X\r\nX-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                return vec![ServerAction::Send(bare.into_bytes())];
            }
            _ => {}
        }
        actions.extend(ok_response(id, "done"));
        actions
    });
    set_logger();
    let entry_vm = TestEntryVm::start(&[&server]);
    assert_eq!(entry_vm.send("POST", "/order/1", "order").0, 503);
    assert_eq!(entry_vm.send("POST", "/order/1", "order").0, 200);
    // The connection of the second try is the last used one.
    assert_eq!(entry_vm.send("GET", "/read/1", "read").0, 200);

    let refusal = |key: &str| logged("attempt_refused", "order", key);
    assert_eq!(refusal("status").as_deref(), Some("503"));
    assert_eq!(refusal("place").as_deref(), Some("s0"));
    assert_eq!(refusal("earlier_requests").as_deref(), Some("0"));
    assert_eq!(refusal("id_sent_before").as_deref(), Some("false"));
    assert!(refusal("connection").is_some());
    assert!(refusal("connection_age_ms").is_some());
    let passed_over = |key: &str| logged("connections_passed_over", "order", key);
    assert_eq!(passed_over("count").as_deref(), Some("1"));
    assert_eq!(passed_over("taken").as_deref(), Some("none"));
    assert_eq!(passed_over("address"), refusal("address"));
    let foreign = |key: &str| logged("foreign_answer", "read", key);
    assert_eq!(foreign("answer_id").as_deref(), Some("order"));
    assert_eq!(foreign("answer_id_sent_before").as_deref(), Some("true"));
    assert_eq!(foreign("earlier_requests").as_deref(), Some("1"));

    assert_eq!(entry_vm.send("POST", "/order/1", "bare").0, 502);
    let bare = |key: &str| logged("attempt_refused", "bare", key);
    assert_eq!(bare("outcome").as_deref(), Some("error"));
    assert_eq!(bare("status").as_deref(), Some("429"));
}

/// Guards against a log in which the reason of a 502 is missing or too general.
#[test]
fn log_tells_why_a_response_was_rejected() {
    const HEAD: &str =
        "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok";
    let cases = [
        (
            "status",
            HEAD.replace("200", "000"),
            "malformed message: status 000 is not within 100 to 599",
        ),
        (
            "name",
            HEAD.replace("X-Signature", "X Signature"),
            "malformed message: invalid name of a header field",
        ),
        (
            "feed",
            HEAD.replace("Content", "\nContent"),
            "malformed message: line feed without carriage return",
        ),
    ];
    let responses = cases.clone().map(|(_, response, _)| response);
    let server = TestServer::start(move |n, id| {
        let bytes = responses[n].replace("ID", id).into_bytes();
        vec![ServerAction::Send(bytes), ServerAction::Close]
    });
    set_logger();
    let entry_vm = TestEntryVm::start(&[&server]);
    for (id, _, error) in cases {
        assert_eq!(entry_vm.send("POST", "/order/1", id).0, 502, "{id}");
        assert_eq!(logged_error("attempt_failed", id).as_deref(), Some(error));
        assert_eq!(
            logged("attempt_failed", id, "outcome").as_deref(),
            Some("lost")
        );
        assert_eq!(logged("attempt_failed", id, "place").as_deref(), Some("s0"));
    }
}

/// Guards against a reset during the upload that leaves no trace in the log.
#[test]
fn log_shows_a_reset_during_the_upload() {
    const UPLOAD_BYTES: usize = 8_000_000;
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let server = TestServer::absent(listener.local_addr().unwrap());
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]);
        let part = "HTTP/1.1 200 OK\r\nX-Id: upload\r\nX-Signature: s\r\n\r\npart";
        stream.write_all(part.as_bytes()).unwrap();
        rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
    });
    set_logger();
    let entry_vm = TestEntryVm::start(&[&server]);
    let mut stream = entry_vm.connect();
    let head = format!(
        "PUT /order/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: upload\r\nX-Deadline: 2000\r\n\
         Content-Length: {UPLOAD_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&vec![b'u'; UPLOAD_BYTES]).unwrap();
    let (status, _, _) = harness::read_response(&mut stream).expect("response");
    assert_eq!(status, 502);
    assert_eq!(
        logged_error("attempt_failed", "upload").as_deref(),
        Some("connection failed: connection reset")
    );
}

/// Guards against a long answer that is cut after its start was passed on and whose request only has a line that
/// says that it was answered.
#[test]
fn log_tells_why_a_long_answer_was_cut() {
    const BODY_BYTES: usize = 700_000;
    let server = TestServer::start(|_, id| {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        );
        let start = vec![b'x'; BODY_BYTES / 2];
        let end = match id {
            "late" => ServerAction::Wait(Duration::from_secs(5)),
            _ => ServerAction::Close,
        };
        vec![
            ServerAction::Send(head.into_bytes()),
            ServerAction::Send(start),
            end,
        ]
    });
    set_logger();
    let entry_vm = TestEntryVm::start(&[&server]);
    let cases = [
        ("broken", "server", "connection ended inside a message"),
        ("late", "deadline", "time limit passed"),
    ];
    for (id, by, error) in cases {
        let mut stream = entry_vm.connect();
        stream
            .write_all(&harness::request("GET", "/read/1", id))
            .unwrap();
        let mut bytes = Vec::new();
        // The entry VM closes the connection, in order or not.
        let _ = stream.read_to_end(&mut bytes);
        let text = String::from_utf8_lossy(&bytes);
        assert_eq!(
            header_value(&text, "transfer-encoding").as_deref(),
            Some("chunked")
        );
        assert_eq!(logged_error("answer_cut", id).as_deref(), Some(error));
        assert_eq!(logged("answer_cut", id, "by").as_deref(), Some(by));
        let address = server.address.to_string();
        assert_eq!(logged("answer_cut", id, "address"), Some(address));
    }
}

/// Guards against the same for a caller that leaves before the end.
#[test]
fn log_shows_that_the_caller_left_during_a_long_answer() {
    let server = TestServer::start(|_, id| {
        let head = format!("HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\n\r\n");
        vec![
            ServerAction::Send(head.into_bytes()),
            ServerAction::SendForever(vec![b'x'; 65_536]),
        ]
    });
    set_logger();
    let entry_vm = TestEntryVm::start(&[&server]);
    let mut stream = entry_vm.connect();
    stream
        .write_all(&harness::request("GET", "/read/1", "left"))
        .unwrap();
    stream.read_exact(&mut vec![0; 400_000]).unwrap();
    drop(stream);
    let limit = Instant::now() + Duration::from_secs(5);
    while logged("answer_cut", "left", "by").is_none() {
        assert!(Instant::now() < limit, "no line about the cut answer");
        thread::sleep(Duration::from_millis(10));
    }
    assert_eq!(
        logged("answer_cut", "left", "by").as_deref(),
        Some("caller")
    );
}
