//! Responses without end and responses cut in their head, as the client of the entry VM sees them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use http::client::{self, ClientOptions};
use http::{Method, Result};

const TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the timeout by which an exchange must have failed.
const END_SLACK: Duration = Duration::from_millis(500);

/// Accepts one connection and sends `start`, then `repeated` until the client closes, unless it is
/// empty.
fn start_server(start: Vec<u8>, repeated: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut tcp, _) = listener.accept().unwrap();
        let _ = tcp.read(&mut [0; 1024]);
        let mut sent = tcp.write_all(&start);
        while sent.is_ok() && !repeated.is_empty() {
            sent = tcp.write_all(&repeated);
        }
    });
    addr
}

fn exchange(addr: SocketAddr) -> (Result<http::Response>, Duration) {
    let options = ClientOptions {
        timeout: TIMEOUT,
        ..ClientOptions::default()
    };
    let req = client::build_request(Method::Get, "/").unwrap();
    let begin = Instant::now();
    let result = runtime::block_on(1, client::request(addr, req, &options));
    (result, begin.elapsed())
}

/// Guards against responses without end, in the head or the body, that hold a slot and the executor
/// beyond the deadline.
#[test]
fn endless_response_fails_by_the_timeout() {
    let ok = "HTTP/1.1 200 OK\r\n";
    let chunked = format!("{ok}transfer-encoding: chunked\r\n\r\n");
    let garbage = vec![b'x'; 4096];
    let cases: Vec<(&str, String, Vec<u8>)> = vec![
        ("garbage", String::new(), garbage.clone()),
        ("head line", ok.into(), garbage.clone()),
        ("head fields", ok.into(), b"a: b\r\n".repeat(500)),
        (
            "interim",
            String::new(),
            b"HTTP/1.1 100 Continue\r\n\r\n".repeat(100),
        ),
        ("chunks", chunked.clone(), b"4\r\nbody\r\n".repeat(300)),
        ("chunk extension", format!("{chunked}4;"), garbage.clone()),
        (
            "trailer fields",
            format!("{chunked}0\r\n"),
            b"a: b\r\n".repeat(500),
        ),
        (
            "trailer line",
            format!("{chunked}0\r\na: "),
            garbage.clone(),
        ),
        ("body without length", format!("{ok}\r\n"), garbage),
    ];
    for (name, start, repeated) in cases {
        let addr = start_server(start.into_bytes(), repeated);
        let (result, took) = exchange(addr);
        assert!(result.is_err(), "{name}: accepted");
        assert!(took < TIMEOUT + END_SLACK, "{name}: failed after {took:?}");
    }
}

/// Guards against a response that looks complete although the server stopped inside its head.
#[test]
fn response_cut_in_its_head_is_an_error() {
    let head = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\nx-a: b\r\n\r\n";
    for cut in 0..head.len() {
        let addr = start_server(head[..cut].to_vec(), Vec::new());
        let (result, _) = exchange(addr);
        assert!(result.is_err(), "accepted after {cut} bytes");
    }
}

/// Guards against a refusal of an earlier request that a server repeats on a kept connection and
/// that is taken for the answer to the next one: no request may be sent on a used connection.
#[test]
fn repeated_refusal_does_not_reach_the_next_request() {
    let refusal = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let answers = [
            refusal.repeat(2),
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".to_owned(),
        ];
        let kept: Vec<_> = answers
            .into_iter()
            .map(|answer| {
                let (mut tcp, _) = listener.accept().unwrap();
                let _ = tcp.read(&mut [0; 1024]);
                tcp.write_all(answer.as_bytes()).unwrap();
                tcp
            })
            .collect();
        thread::sleep(TIMEOUT);
        drop(kept);
    });
    let statuses = [(); 2].map(|()| u16::from(exchange(addr).0.unwrap().status()));
    assert_eq!(statuses, [503, 200]);
}

/// Guards against a status that HTTP does not define, which would be relayed to a caller as the answer of a
/// server, or taken for an empty answer because statuses below 200 have no body.
#[test]
fn response_with_an_invalid_status_is_an_error() {
    for status in ["000", "001", "099", "600", "999"] {
        for rest in [
            "content-length: 4\r\n\r\nbody",
            "transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            "\r\nbody",
        ] {
            let response = format!("HTTP/1.1 {status} X\r\n{rest}");
            let addr = start_server(response.clone().into_bytes(), Vec::new());
            let (result, _) = exchange(addr);
            assert!(result.is_err(), "accepted: {response}");
        }
    }
}

/// Guards against a field name with a blank or control byte: the field would be relayed under another name, or
/// the body would have another length than the server gave it.
#[test]
fn response_with_an_invalid_field_name_is_an_error() {
    let whole = "HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-length: 4\r\n\r\nbody";
    let names = ["x-a", "content-length"];
    for (name, at) in names
        .iter()
        .flat_map(|n| (0..=n.len()).map(move |i| (n, i)))
    {
        for byte in (0..=b' ').chain([0x7f]) {
            let mut response = whole.as_bytes().to_vec();
            let start = whole.find(name).unwrap();
            response.insert(start + at, byte);
            let addr = start_server(response, Vec::new());
            let (result, _) = exchange(addr);
            assert!(
                result.is_err(),
                "accepted: {name}, byte {byte:#04x} at {at}"
            );
        }
    }
}

/// Guards against a part of a body that looks complete after the server has reset the connection during the
/// upload, with each way to end a body.
#[test]
fn response_reset_during_the_upload_is_an_error() {
    const UPLOAD_BYTES: usize = 8_000_000;
    for start in [
        "\r\npart",
        "connection: close\r\n\r\npart",
        "content-length: 9\r\n\r\npart",
        "transfer-encoding: chunked\r\n\r\n4\r\npart\r\n",
    ] {
        let response = format!("HTTP/1.1 200 OK\r\n{start}");
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        thread::spawn(move || {
            let (mut tcp, _) = listener.accept().unwrap();
            let _ = tcp.read(&mut [0; 1024]);
            tcp.write_all(response.as_bytes()).unwrap();
            // Closing with unread input resets the connection.
            tcp.peek(&mut [0; 1]).unwrap();
        });
        let mut req = client::build_request(Method::Put, "/").unwrap();
        req.set_body(vec![b'u'; UPLOAD_BYTES]);
        let options = ClientOptions::default();
        let result = runtime::block_on(1, client::request(addr, req, &options));
        assert!(result.is_err(), "accepted: {start:?}");
    }
}
