//! Truncated, ambiguous or oversized messages must never be accepted as complete.

use std::net::SocketAddr;
use std::time::Duration;

use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http::client::{self, ClientOptions};
use http::server::{self, ServerOptions};
use http::{Error, Method};

/// Starts a server that responds with the length of the request body.
async fn start_server(options: ServerOptions) -> (SocketAddr, async_channel::Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (tx, rx) = async_channel::bounded(1);
    let handler = |mut req: http::Request| async move {
        let body = req.body_bytes().await.unwrap();
        server::json_response(200, &body.len())
    };
    runtime::spawn(server::serve(listener, options, rx, handler)).detach();
    (addr, tx)
}

/// Sends raw bytes, optionally closes the write side, and returns everything received.
async fn raw_exchange(addr: SocketAddr, bytes: &[u8], half_close: bool) -> String {
    let mut tcp = TcpStream::connect(addr).await.unwrap();
    tcp.write_all(bytes).await.unwrap();
    if half_close {
        tcp.shutdown(std::net::Shutdown::Write).unwrap();
    }
    let mut out = Vec::new();
    let read = tcp.read_to_end(&mut out);
    runtime::timeout(Duration::from_secs(5), read)
        .await
        .expect("server must close")
        .ok();
    String::from_utf8_lossy(&out).into_owned()
}

/// Accepts one connection, reads from it, responds with raw bytes and closes it.
async fn raw_server(response: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    runtime::spawn(async move {
        let (mut tcp, _) = listener.accept().await.unwrap();
        let mut buf = [0; 1024];
        let _ = tcp.read(&mut buf).await;
        tcp.write_all(response).await.unwrap();
    })
    .detach();
    addr
}

fn assert_refused_as_not_run(response: &str, code: u16) {
    assert!(
        response.contains(&format!("x-result-code: {code}\r\n")),
        "{response}"
    );
    assert!(response.contains("x-outcome: not-run"), "{response}");
}

#[test]
fn invalid_requests_are_refused_as_not_run() {
    // Invalid, truncated or oversized; two parsers could disagree about where such a request ends.
    let cases: &[(&[u8], u16)] = &[
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc", 101),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd", 100),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: +3\r\n\r\nabc", 100),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3, 3\r\n\r\nabc", 100),
        (
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            100,
        ),
        (b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 100),
        (b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n9\r\nabc", 101),
        (b"GET / HTTP/1.1\r\n\r\n", 100),
        (b"GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", 100),
        (b"GET / HTTP/1.0\r\nhost: a\r\n\r\n", 100),
        (b"BREW / HTTP/1.1\r\nhost: a\r\n\r\n", 100),
        (b"GET http://b/ HTTP/1.1\r\nhost: a\r\n\r\n", 100),
        (b"GET / HTTP/1.1\nhost: a\r\n\r\n", 100),
        (b"GET / HTTP/1.1\r\nho", 101),
        (b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999\r\n\r\n", 102),
    ];
    runtime::block_on(1, async {
        let (addr, _stop) = start_server(ServerOptions::default()).await;
        for (bytes, code) in cases {
            assert_refused_as_not_run(&raw_exchange(addr, bytes, true).await, *code);
        }
        let long = format!(
            "GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n",
            "y".repeat(9000)
        );
        assert_refused_as_not_run(&raw_exchange(addr, long.as_bytes(), false).await, 103);
    });
}

#[test]
fn slow_requests_are_refused_as_not_run() {
    let options = ServerOptions {
        head_timeout: Duration::from_millis(100),
        body_timeout: Duration::from_millis(100),
        ..ServerOptions::default()
    };
    runtime::block_on(1, async {
        let (addr, _stop) = start_server(options).await;
        assert_refused_as_not_run(&raw_exchange(addr, b"GET / HT", false).await, 104);
        let slow_body = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nabc";
        assert_refused_as_not_run(&raw_exchange(addr, slow_body, false).await, 104);
    });
}

#[test]
fn pipelined_requests_are_all_answered() {
    // async-h1 on its own loses requests that arrive in the same read as an earlier one.
    let bytes = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc\
        GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    runtime::block_on(1, async {
        let (addr, _stop) = start_server(ServerOptions::default()).await;
        let response = raw_exchange(addr, bytes, false).await;
        assert_eq!(response.matches("HTTP/1.1 200 OK").count(), 2, "{response}");
    });
}

#[test]
fn invalid_responses_are_errors() {
    // Each response is truncated or ambiguous and must not be relayed as complete.
    let cases: &[(&[u8], Error)] = &[
        (
            b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc",
            Error::Truncated,
        ),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nabc",
            Error::Truncated,
        ),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
            Error::Truncated,
        ),
        (
            b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\ncontent-length: 2\r\n\r\nabc",
            Error::InvalidHead("more than one Content-Length"),
        ),
        (
            b"HTTP/1.1 200 OK\r\n\r\nabc",
            Error::InvalidHead("the response has neither length nor chunks"),
        ),
        (b"HTTP/1.1 200 OK\r\ncontent", Error::Truncated),
        (b"", Error::Closed),
    ];
    runtime::block_on(1, async {
        for (bytes, expected) in cases {
            let addr = raw_server(bytes).await;
            let req = client::build_request(Method::Get, "/").unwrap();
            let result = client::request(addr, req, &ClientOptions::default()).await;
            assert_eq!(result.unwrap_err().current_context(), expected);
        }
    });
}

#[test]
fn refused_connection_is_reported_as_not_sent() {
    runtime::block_on(1, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        drop(listener);
        let req = client::build_request(Method::Get, "/").unwrap();
        let error = client::request(addr, req, &ClientOptions::default())
            .await
            .unwrap_err();
        assert!(!error.current_context().may_have_been_sent());
    });
}

#[test]
fn response_without_date_gets_no_date_header() {
    // async-h1 inserts a Date value that ends in "\r\n", which truncates the head when relayed.
    runtime::block_on(1, async {
        let addr = raw_server(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc").await;
        let req = client::build_request(Method::Get, "/").unwrap();
        let res = client::request(addr, req, &ClientOptions::default())
            .await
            .unwrap();
        assert!(res.header("date").is_none());
    });
}
