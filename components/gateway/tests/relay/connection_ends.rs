//! Answers and refusals whose connection ends with them, in the same segment or with a reset.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use rustix::net::sockopt;

use crate::harness::{
    TestEntryVm, TestServer, header_value, ok_response_bytes, read_message, read_response,
};

/// How a server ends a connection after its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The end is in the segment of the answer.
    SameSegment,
    Reset,
    /// The server has not read the body of the request, so that its kernel resets the connection.
    UnreadBody,
}

const ENDS: [End; 3] = [End::SameSegment, End::Reset, End::UnreadBody];

/// A server that answers one request a connection.
struct EndingServer {
    address: SocketAddr,
    /// Ids of the received requests.
    ids: Arc<Mutex<Vec<String>>>,
}

impl EndingServer {
    /// Starts a server; `answer` gets the number of the request, counted from 0, and its id.
    fn start(end: End, answer: impl Fn(usize, &str) -> Vec<u8> + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let ids = Arc::<Mutex<Vec<String>>>::default();
        let received = ids.clone();
        let answer = Arc::new(answer);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (answer, received) = (answer.clone(), received.clone());
                let stream = stream.unwrap();
                thread::spawn(move || serve(stream, end, &received, &*answer));
            }
        });
        EndingServer { address, ids }
    }

    fn absent(&self) -> TestServer {
        TestServer::absent(self.address)
    }

    fn count(&self) -> usize {
        self.ids.lock().unwrap().len()
    }
}

fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

fn serve(
    mut stream: TcpStream,
    end: End,
    received: &Mutex<Vec<String>>,
    answer: &impl Fn(usize, &str) -> Vec<u8>,
) {
    let head = if end == End::UnreadBody {
        read_head(&mut stream)
    } else {
        read_message(&mut stream).map(|(head, _)| head)
    };
    let Some(id) = head.and_then(|head| header_value(&head, "x-id")) else {
        return;
    };
    let n = {
        let mut received = received.lock().unwrap();
        received.push(id.clone());
        received.len() - 1
    };
    finish(stream, end, &closing(&answer(n, &id)));
}

/// Adds `Connection: close` to an answer. Without it, the entry VM may send the next request before the
/// connection ends, and the outcome of that request is unknown.
fn closing(answer: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(answer);
    text.replace("\r\nX-Id:", "\r\nConnection: close\r\nX-Id:")
        .into_bytes()
}

/// Writes an answer and ends the connection.
fn finish(mut stream: TcpStream, end: End, bytes: &[u8]) {
    match end {
        End::SameSegment => {
            sockopt::set_tcp_cork(&stream, true).unwrap();
            stream.write_all(bytes).unwrap();
            stream.shutdown(Shutdown::Write).unwrap();
            // Waits for the end of the other side, since a close could reset the connection.
            let _ = stream.read(&mut [0]);
        }
        End::Reset => {
            stream.write_all(bytes).unwrap();
            sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
        }
        End::UnreadBody => stream.write_all(bytes).unwrap(),
    }
}

fn refusal(id: &str) -> Vec<u8> {
    format!("HTTP/1.1 503 Busy\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
        .into_bytes()
}

/// Sends an order with a body of several segments.
fn send_order(entry_vm: &TestEntryVm, id: &str) -> (u16, String, String) {
    let body = vec![b'x'; 200 * 1024];
    let head = format!(
        "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: {id}\r\nX-Deadline: 2000\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut stream = entry_vm.connect();
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&body).unwrap();
    read_response(&mut stream).expect("response")
}

/// Guards against an answer that is lost (502), because the end or the reset of its connection is seen
/// before what has arrived.
#[test]
fn answer_before_the_end_of_its_connection_is_read() {
    for end in ENDS {
        let server = EndingServer::start(end, |_, id| ok_response_bytes(id, id));
        let entry_vm = TestEntryVm::start(&[&server.absent()]);
        for i in 0..10 {
            let id = format!("a{i}");
            let (status, head, body) = send_order(&entry_vm, &id);
            assert_eq!((status, body), (200, id), "{end:?}, order {i}: {head}");
            assert_eq!(server.count(), i + 1, "{end:?}");
        }
    }
}

/// Guards against a refusal that becomes an unknown outcome (502), and against an order that is refused
/// although it runs, because a copy of its refusal ends the connection together with it.
#[test]
fn refusal_before_the_end_of_its_connection_is_read() {
    for end in ENDS {
        for copies in [0, 1] {
            let server = EndingServer::start(end, move |n, id| {
                if n % 2 == 1 {
                    return ok_response_bytes(id, id);
                }
                refusal(id).repeat(1 + copies)
            });
            let entry_vm = TestEntryVm::start(&[&server.absent()]);
            for i in 0..10 {
                let id = format!("a{i}");
                let case = format!("{end:?}, {copies} copies, order {i}");
                let (status, head, _) = send_order(&entry_vm, &id);
                assert_eq!(status, 503, "{case}: {head}");
                assert!(head.contains("x-outcome: not-run"), "{case}: {head}");
                let (status, head, body) = send_order(&entry_vm, &id);
                assert_eq!((status, body), (200, id), "{case}: {head}");
                assert_eq!(server.count(), 2 * (i + 1), "{case}");
            }
        }
    }
}
