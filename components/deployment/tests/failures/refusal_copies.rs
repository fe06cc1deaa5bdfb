//! Servers that send a refusal more than once, or send more than the answer.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use deployment::history::{Attempt, Operation, check};
use deployment::sample::{ORDERS, Shape};
use deployment::{CallerRequest, Credential, Deployment, RequestOutcome};
use standins::server::EchoBody;

use crate::common::{SEED, caller, options, pause, run};

/// Number of times that the servers together refuse an order before one of them runs it.
const REFUSALS: u64 = 2;
const ORDER_COUNT: usize = 24;
const MAX_ATTEMPTS: usize = 8;
/// Time between the two parts of what a server sends in two parts.
const PART_DELAY: Duration = Duration::from_millis(5);
const REFUSAL: &str = "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";

/// What the servers have seen.
#[derive(Default)]
struct Log {
    /// Requests with each execution id.
    arrivals: BTreeMap<Box<str>, u64>,
    executions: BTreeMap<Box<str>, u64>,
    refusals: u64,
    /// Largest number of requests on one connection.
    max_requests: u64,
}

type SharedLog = Arc<Mutex<Log>>;

fn lock(log: &SharedLog) -> MutexGuard<'_, Log> {
    log.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A request as the server reads it.
struct Received {
    path: String,
    id: Box<str>,
    body_length: usize,
}

fn start_server(log: SharedLog) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for tcp in listener.incoming().flatten() {
            let log = log.clone();
            thread::spawn(move || serve_connection(tcp, &log));
        }
    });
    address
}

/// Serves a connection until the entry VM closes it.
fn serve_connection(mut tcp: TcpStream, log: &SharedLog) -> Option<()> {
    tcp.set_nodelay(true).ok()?;
    let mut requests = 0;
    loop {
        let received = read_request(&mut tcp)?;
        if received.path == "/health" {
            let health = r#"{"state":"ready","busy":0,"slots":4}"#;
            tcp.write_all(response(health).as_bytes()).ok()?;
            continue;
        }
        requests += 1;
        let parts = answer(&received, requests, &mut lock(log));
        for part in parts {
            tcp.write_all(part.as_bytes()).ok()?;
            thread::sleep(PART_DELAY);
        }
    }
}

/// Runs or refuses the request; returns the parts of what the server sends.
fn answer(received: &Received, requests: u64, log: &mut Log) -> Vec<String> {
    log.max_requests = log.max_requests.max(requests);
    let arrivals = log.arrivals.entry(received.id.clone()).or_default();
    *arrivals += 1;
    let arrivals = *arrivals;
    let number: u64 = received.id.rsplit('-').next().unwrap().parse().unwrap();
    let echo = response(&serde_json::to_string(&echo_body(received)).unwrap());
    if arrivals > REFUSALS {
        *log.executions.entry(received.id.clone()).or_default() += 1;
        return match number % 2 {
            0 => vec![echo],
            _ => vec![echo + REFUSAL],
        };
    }
    log.refusals += 1;
    match (number / 2 + arrivals) % 4 {
        // A copy in the segment of the refusal, or later.
        0 => vec![REFUSAL.repeat(2)],
        1 => vec![REFUSAL.into(), REFUSAL.into()],
        // A refusal in two parts, with a copy behind the second one.
        2 => vec![REFUSAL[..20].into(), REFUSAL[20..].to_owned() + REFUSAL],
        // An answer to a request that did not run behind its refusal.
        _ => vec![REFUSAL.to_owned() + &echo],
    }
}

fn echo_body(received: &Received) -> EchoBody {
    EchoBody {
        server: "scripted".into(),
        method: "POST".into(),
        path: received.path.as_str().into(),
        body_length: received.body_length,
        request_id: received.id.clone(),
        pad: String::new(),
        end: received.id.clone(),
    }
}

fn response(body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Reads a request; `None` if the connection ends first.
fn read_request(tcp: &mut TcpStream) -> Option<Received> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        tcp.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?;
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        let (_, value) = lines.find(|(n, _)| n.eq_ignore_ascii_case(name))?;
        Some(value)
    };
    let body_length = header("content-length").map_or(0, |v| v.parse().unwrap());
    tcp.read_exact(&mut vec![0; body_length]).ok()?;
    Some(Received {
        path: head.split(' ').nth(1)?.to_owned(),
        id: header("x-execution-id").unwrap_or_default().into(),
        body_length,
    })
}

/// Starts a deployment whose servers of the orders are scripted.
async fn start_deployment(log: &SharedLog) -> Deployment {
    let mut d = Deployment::start_without_entry_vms(options(Shape::default()))
        .await
        .unwrap();
    for server in &mut d.configuration.inventory.servers {
        if &*server.service == ORDERS {
            server.address = start_server(log.clone());
        }
    }
    d.apply(1, &d.configuration).await.unwrap();
    for vm in d.configuration.inventory.entry_vms.clone() {
        d.start_entry_vm(&vm).unwrap();
    }
    d.wait_ready().await.unwrap();
    d
}

/// Sends an order with one ticket or key to the entry VMs in turn until it is complete.
async fn send_order(d: &Deployment, number: usize) -> Operation {
    let caller = caller(d);
    let request = CallerRequest {
        service: ORDERS.into(),
        house: "house".into(),
        id: format!("order-{number}").into(),
        binding: true,
        response_bytes: 0,
    };
    let found = caller.look_up(ORDERS).await.unwrap();
    let ticket = found.ticket.unwrap();
    let credential = if number.is_multiple_of(3) {
        Credential::Key(&request.id)
    } else {
        Credential::Ticket(&ticket)
    };
    let mut operation = Operation {
        id: request.id.clone(),
        binding: true,
        started_at: Instant::now(),
        attempts: Vec::new(),
    };
    for attempt in 0..MAX_ATTEMPTS {
        let address = caller.entry_vms[(number + attempt) % caller.entry_vms.len()];
        let outcome = caller.send(address, &request, credential).await;
        let outcome = outcome.unwrap_or(RequestOutcome::Unknown(0));
        let is_complete = outcome == RequestOutcome::Complete;
        operation.attempts.push(Attempt { address, outcome });
        if is_complete {
            break;
        }
        pause(10).await;
    }
    operation
}

/// Guards against a copy of a refusal, or another answer too many, that is taken for the answer to a
/// later attempt: the order would run although it was refused as not run, or run a second time.
#[test]
fn copies_of_refusals_belong_to_no_later_attempt() {
    run(async {
        let log = SharedLog::default();
        let d = start_deployment(&log).await;
        let mut operations = Vec::new();
        for number in 0..ORDER_COUNT {
            operations.push(send_order(&d, number).await);
        }
        let log = lock(&log);
        let report = check(&operations, &log.executions);
        report.assert_consistent("refusal-copies", SEED);
        println!("refusals={} complete={}", log.refusals, report.complete);
        for operation in &operations {
            let last = operation.attempts.last().unwrap();
            assert_eq!(last.outcome, RequestOutcome::Complete, "{operation:?}");
            assert_eq!(log.executions.get(&operation.id), Some(&1), "{operation:?}");
        }
        assert_eq!(log.refusals, REFUSALS * ORDER_COUNT as u64);
        assert_eq!(log.max_requests, 1, "requests on one connection");
    });
}
