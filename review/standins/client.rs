//! Stand-in for clients: look-ups, pipelined requests and uploads, as in PROTOCOL.md.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json;
use crate::record::Record;

pub const HOST: &str = "orders.example";

/// A request of a client and what became of it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub sent_at: f64,
    pub deadline_s: f64,
    /// Status of the complete answer; `None` if the connection ended before.
    pub status: Option<u16>,
    pub ended_at: f64,
}

fn head(method: &str, target: &str, id: &str, deadline_s: f64, length: Option<usize>) -> String {
    let length = length.map_or(String::new(), |n| format!("Content-Length: {n}\r\n"));
    let deadline_ms = deadline_s * 1000.0;
    format!(
        "{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Request-Deadline: {deadline_ms}\r\n{length}\r\n"
    )
}

/// Asks the directory of an entry VM which entry VMs to use.
pub fn look_up(directory: SocketAddr, region: &str, zone: &str) -> Vec<SocketAddr> {
    let target = format!("/rosemaryglade/resolve?name={HOST}&region={region}&zone={zone}");
    let Some(answer) = call(directory, &target).filter(|a| a.second() == "200") else {
        return Vec::new();
    };
    let Some(body) = json::parse(&answer.body) else {
        return Vec::new();
    };
    let addresses = body.get("addresses").list().iter();
    addresses.filter_map(|a| a.text().parse().ok()).collect()
}

/// Makes a call without a body on a new connection.
pub fn call(address: SocketAddr, target: &str) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let mut connection = Connection::new(stream);
    let text = format!("GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    connection.stream.write_all(text.as_bytes()).ok()?;
    connection.read().ok()?
}

/// Sends GET requests on one connection, all before the first is answered, and reads the answers
/// until the last one, the end of the connection or the deadline.
pub fn pipeline(
    address: SocketAddr,
    requests: &[(String, String)],
    deadline_s: f64,
    record: &Record,
) -> Vec<Attempt> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).expect("connect");
    stream
        .set_read_timeout(Some(Duration::from_secs_f64(deadline_s)))
        .unwrap();
    let mut connection = Connection::new(stream);
    let text: String = requests
        .iter()
        .map(|(id, target)| head("GET", target, id, deadline_s, None))
        .collect();
    let sent_at = record.now();
    connection
        .stream
        .write_all(text.as_bytes())
        .expect("write requests");
    for (id, target) in requests {
        record.line(&format!("sent id={id} GET {target} to={address}"));
    }
    let mut ended = None;
    requests
        .iter()
        .map(|(id, _)| {
            let (status, ended_at) = match ended {
                Some(at) => (None, at),
                None => {
                    let (status, what) = read_answer(&mut connection, id);
                    record.line(&format!("answer id={id} {what}"));
                    if status.is_none() {
                        ended = Some(record.now());
                    }
                    (status, record.now())
                }
            };
            Attempt {
                id: id.clone(),
                sent_at,
                deadline_s,
                status,
                ended_at,
            }
        })
        .collect()
}

/// Reads the answer to a request; its status if it is complete, and a text for the record.
fn read_answer(connection: &mut Connection, id: &str) -> (Option<u16>, String) {
    match connection.read() {
        Ok(Some(answer)) => {
            let own = answer.header("x-request-id") == Some(id);
            let status = answer.second().parse().ok().filter(|_| own);
            let code = answer.header("x-result-code").unwrap_or("none");
            let close = answer.header("connection").unwrap_or("keep-alive");
            let text = format!(
                "status={} bytes={} code={code} connection={close}",
                answer.second(),
                answer.body.len()
            );
            (status, text)
        }
        Ok(None) => (None, "none: the gateway closed the connection".to_owned()),
        Err(e) => (None, format!("none or incomplete: {e}")),
    }
}

/// Sends a POST request whose body is written at `bytes_per_s`, and reads the answer.
pub fn upload(
    address: SocketAddr,
    target: &str,
    id: &str,
    bytes: usize,
    bytes_per_s: f64,
    deadline_s: f64,
    record: &Record,
) -> Attempt {
    let sent_at = record.now();
    record.line(&format!(
        "sent id={id} POST {target} body={bytes} to={address}"
    ));
    let (status, what) = match try_upload(address, target, id, bytes, bytes_per_s, deadline_s) {
        Ok(mut connection) => read_answer(&mut connection, id),
        Err(e) => (None, format!("none: {e} while sending")),
    };
    record.line(&format!("answer id={id} {what}"));
    Attempt {
        id: id.to_owned(),
        sent_at,
        deadline_s,
        status,
        ended_at: record.now(),
    }
}

fn try_upload(
    address: SocketAddr,
    target: &str,
    id: &str,
    bytes: usize,
    bytes_per_s: f64,
    deadline_s: f64,
) -> std::io::Result<Connection> {
    const PIECE: usize = 64 * 1024;
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs_f64(deadline_s)))?;
    let mut connection = Connection::new(stream);
    let text = head("POST", target, id, deadline_s, Some(bytes));
    connection.stream.write_all(text.as_bytes())?;
    let start = Instant::now();
    let piece = vec![b'u'; PIECE];
    let mut sent = 0;
    while sent < bytes {
        let n = PIECE.min(bytes - sent);
        connection.stream.write_all(&piece[..n])?;
        sent += n;
        let due = Duration::from_secs_f64(sent as f64 / bytes_per_s);
        std::thread::sleep(due.saturating_sub(start.elapsed()));
    }
    Ok(connection)
}
