//! Servers that send a refusal again, when the refused request is under way a second time on the same
//! connection. The copy bears the id of that request, so the id does not tell it from the answer.
//! Also servers that send any answer again, where the answer to a HEAD request is due or follows.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, ThreadId};
use std::time::{Duration, Instant};

use crate::forward::RemoteEntryVm;
use crate::harness::{
    ServerAction, TestEntryVm, TestServer, ok_response, ok_response_bytes, read_response, request,
    routes,
};

/// Statuses with which servers refuse.
const REFUSALS: [&str; 3] = [
    "503 Service Unavailable",
    "429 Too Many Requests",
    "421 Misdirected Request",
];
/// Time that a server takes to run a request.
const EXECUTION_TIME: Duration = Duration::from_millis(20);
/// Requests that servers never refuse begin with this.
const UNREFUSED_PREFIX: &str = "other";

/// Number of times that each request ran, by id.
type Runs = Arc<Mutex<HashMap<String, usize>>>;

/// What a server has refused.
#[derive(Default)]
struct Refused {
    /// Refusals of each id.
    by_id: HashMap<String, usize>,
    /// Refusals of each id on the connection that the thread serves.
    by_connection: HashMap<(ThreadId, String), usize>,
}

fn refusal(status: &str, id: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
        .into_bytes()
}

/// Starts a server that refuses each request `refusals` times and runs it after that. Whenever a
/// request comes on a connection on which it was refused before, the server sends a copy of each of
/// these refusals first.
fn copying_server(status: &'static str, refusals: usize, runs: &Runs) -> TestServer {
    let (refused, runs) = (Mutex::new(Refused::default()), runs.clone());
    TestServer::start(move |_, id| {
        let mut refused = refused.lock().unwrap();
        // Each connection has its own thread.
        let connection = (thread::current().id(), id.to_owned());
        let copies = refused.by_connection.get(&connection).copied();
        let mut bytes = refusal(status, id).repeat(copies.unwrap_or(0));
        let count = refused.by_id.entry(id.to_owned()).or_default();
        if *count < refusals && !id.starts_with(UNREFUSED_PREFIX) {
            *count += 1;
            *refused.by_connection.entry(connection).or_default() += 1;
            bytes.extend(refusal(status, id));
            return vec![ServerAction::Send(bytes)];
        }
        *runs.lock().unwrap().entry(id.to_owned()).or_default() += 1;
        let mut actions = vec![
            ServerAction::Send(bytes),
            ServerAction::Wait(EXECUTION_TIME),
        ];
        actions.extend(ok_response(id, id));
        actions
    })
}

fn runs_of(runs: &Runs, id: &str) -> usize {
    runs.lock().unwrap().get(id).copied().unwrap_or(0)
}

/// Sends a request again until it is not refused any more, as its caller may after a refusal that says
/// "not run". Returns the number of refusals, and status and body of the last response.
fn send_until_accepted(send: impl Fn() -> (u16, String, String)) -> (usize, u16, String) {
    const MAX_REFUSALS: usize = 10;
    for refusals in 0..MAX_REFUSALS {
        let (status, head, body) = send();
        if !head.contains("x-outcome: not-run") {
            return (refusals, status, body);
        }
    }
    panic!("refused {MAX_REFUSALS} times");
}

/// Sends reads that no server refuses.
fn send_reads(entry_vm: &TestEntryVm, count: usize, name: &str) {
    for i in 0..count {
        let id = format!("{UNREFUSED_PREFIX}-{name}-{i}");
        let (status, _, body) = entry_vm.send("GET", "/read/1", &id);
        assert_eq!((status, body), (200, id));
    }
}

/// Guards against an order that is refused as not run, although it runs, because the copy of an earlier
/// refusal of the same id is taken for the answer (REFUSED).
#[test]
fn copied_refusal_does_not_hide_that_an_order_runs() {
    for status in REFUSALS {
        for (refusals, reads) in [(1, 0), (2, 0), (1, 3)] {
            let runs = Runs::default();
            let server = copying_server(status, refusals, &runs);
            let entry_vm = TestEntryVm::start(&[&server]);
            for i in 0..6 {
                let id = format!("a{i}");
                let case = format!("{status}, {refusals} refusals, {reads} reads, order {i}");
                let result = send_until_accepted(|| {
                    let response = entry_vm.send("POST", "/order/1", &id);
                    send_reads(&entry_vm, reads, &id);
                    response
                });
                assert_eq!(result, (refusals, 200, id.clone()), "{case}");
                assert_eq!(runs_of(&runs, &id), 1, "{case}");
            }
        }
    }
}

/// Guards against an order that runs at two servers, because the copy of an earlier refusal is taken for
/// the answer of the first and the order is sent to the next one (TWICE).
#[test]
fn copied_refusal_does_not_send_a_running_order_to_another_server() {
    for servers in [2, 3] {
        let runs = Runs::default();
        let started: Vec<TestServer> = (0..servers)
            .map(|_| copying_server(REFUSALS[0], 1, &runs))
            .collect();
        let entry_vm = TestEntryVm::start(&started.iter().collect::<Vec<_>>());
        for i in 0..6 {
            let id = format!("a{i}");
            let (_, status, body) = send_until_accepted(|| entry_vm.send("POST", "/order/1", &id));
            assert_eq!((status, body), (200, id.clone()), "{servers} servers");
            assert_eq!(runs_of(&runs, &id), 1, "{servers} servers, order {i}");
        }
    }
}

/// Guards against a read that runs a second time, and against its answer being left on the connection,
/// because the copy of an earlier refusal is taken for the answer.
#[test]
fn copied_refusal_does_not_repeat_a_read() {
    for servers in [1, 2] {
        let runs = Runs::default();
        let started: Vec<TestServer> = (0..servers)
            .map(|_| copying_server(REFUSALS[0], 1, &runs))
            .collect();
        let entry_vm = TestEntryVm::start(&started.iter().collect::<Vec<_>>());
        for i in 0..6 {
            let id = format!("a{i}");
            let (_, status, body) = send_until_accepted(|| entry_vm.send("GET", "/read/1", &id));
            assert_eq!((status, body), (200, id.clone()), "{servers} servers");
            assert_eq!(runs_of(&runs, &id), 1, "{servers} servers, read {i}");
            send_reads(&entry_vm, 1, &id);
        }
    }
}

/// Guards against an order that is refused although it runs (REFUSED), if it comes back through another
/// entry VM, which passes it on to this one.
#[test]
fn copied_refusal_does_not_hide_that_a_forwarded_order_runs() {
    let runs = Runs::default();
    let server = copying_server(REFUSALS[0], 1, &runs);
    let entry_vm = TestEntryVm::start(&[&server]);
    let peers = entry_vm.node.own().peers;
    for i in 0..6 {
        let id = format!("a{i}");
        assert_eq!(entry_vm.send("POST", "/order/1", &id).0, 503, "order {i}");
        let (status, _, body) = send_forwarded(peers, &id);
        assert_eq!((status, body), (200, id.clone()), "order {i}");
        assert_eq!(runs_of(&runs, &id), 1, "order {i}");
    }
}

/// Sends an order as another entry VM would pass it on.
fn send_forwarded(peers: SocketAddr, id: &str) -> (u16, String, String) {
    let mut stream = TcpStream::connect(peers).unwrap();
    let head = format!(
        "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nX-Id: {id}\r\nX-Deadline: 2000\r\n\
         X-Target-Ms: 500\r\nX-Generation: 1\r\nContent-Length: 5\r\n\r\nhello"
    );
    stream.write_all(head.as_bytes()).unwrap();
    read_response(&mut stream).expect("response")
}

/// Guards against a refusal of one caller's order that is taken for the answer to another caller's with
/// the same id (REFUSED).
#[test]
fn copied_refusal_does_not_reach_another_caller_with_the_same_id() {
    let runs = Runs::default();
    let server = copying_server(REFUSALS[0], 2, &runs);
    let entry_vm = TestEntryVm::start(&[&server]);
    for i in 0..6 {
        let id = format!("a{i}");
        let statuses: Vec<u16> = thread::scope(|scope| {
            let callers: Vec<_> = (0..2)
                .map(|_| scope.spawn(|| entry_vm.send("POST", "/order/1", &id).0))
                .collect();
            callers.into_iter().map(|c| c.join().unwrap()).collect()
        });
        assert_eq!(statuses, [503, 503], "order {i}");
        assert_eq!(runs_of(&runs, &id), 0, "order {i}");
        let (status, _, body) = entry_vm.send("POST", "/order/1", &id);
        assert_eq!((status, body), (200, id.clone()), "order {i}");
        assert_eq!(runs_of(&runs, &id), 1, "order {i}");
    }
}

/// Guards against a copy that arrives together with the refusal or the answer itself, whole or cut in
/// two, and is taken for the answer to the same or another request.
#[test]
fn copy_in_one_segment_with_an_answer_is_not_taken_for_another_answer() {
    const CUT_AT: usize = 20;
    for cut in [false, true] {
        for after_refusal in [false, true] {
            let seen = Mutex::new(HashMap::<String, usize>::new());
            let server = TestServer::start(move |_, id| {
                let mut seen = seen.lock().unwrap();
                let arrivals = seen.entry(id.to_owned()).or_default();
                *arrivals += 1;
                let is_refused = *arrivals == 1 && !id.starts_with(UNREFUSED_PREFIX);
                let mut bytes = if is_refused {
                    refusal(REFUSALS[0], id)
                } else {
                    ok_response_bytes(id, id)
                };
                if is_refused != after_refusal || id.starts_with(UNREFUSED_PREFIX) {
                    return vec![ServerAction::Send(bytes)];
                }
                let mut copy = refusal(REFUSALS[0], id);
                let rest = copy.split_off(if cut { CUT_AT } else { copy.len() });
                bytes.extend(copy);
                let wait = ServerAction::Wait(Duration::from_millis(5));
                vec![ServerAction::Send(bytes), wait, ServerAction::Send(rest)]
            });
            let entry_vm = TestEntryVm::start(&[&server]);
            for i in 0..6 {
                let id = format!("a{i}");
                let case = format!("cut={cut} after_refusal={after_refusal} order {i}");
                let result = send_until_accepted(|| entry_vm.send("POST", "/order/1", &id));
                assert_eq!(result, (1, 200, id.clone()), "{case}");
                send_reads(&entry_vm, 1, &id);
                assert_eq!(server.count(), 3 * (i + 1), "{case}");
            }
        }
    }
}

/// Guards against a refusal that reaches the caller as an unknown outcome (502), because it is taken for
/// the copy of an earlier one.
#[test]
fn true_refusal_stays_a_refusal() {
    for status in REFUSALS {
        let server = copying_server(status, 5, &Runs::default());
        let entry_vm = TestEntryVm::start(&[&server]);
        for i in 0..5 {
            let (answer, head, _) = entry_vm.send("POST", "/order/1", "a");
            assert_eq!(answer, 503, "{status}, time {i}: {head}");
            assert!(head.contains("x-outcome: not-run"), "{status}: {head}");
            assert!(head.contains("x-result-code: 315"), "{status}: {head}");
            assert!(head.contains("Retry-After"), "{status}: {head}");
        }
        assert_eq!(entry_vm.send("POST", "/order/1", "a").0, 200, "{status}");
    }
}

/// Guards against a new connection for each refusal: servers refuse most when they are busy, and a
/// connection takes one of their slots.
#[test]
fn refusals_of_different_requests_keep_the_connection() {
    let server = copying_server(REFUSALS[0], 1, &Runs::default());
    let entry_vm = TestEntryVm::start(&[&server]);
    for i in 0..20 {
        assert_eq!(entry_vm.send("POST", "/order/1", &format!("a{i}")).0, 503);
    }
    assert_eq!((server.count(), server.connection_count()), (20, 1));
}

/// Guards against a record of sent ids that grows without bound, or that forgets an id while its
/// connection is in use.
#[test]
fn connection_is_replaced_after_its_last_recorded_request() {
    const MAX_REQUESTS: usize = 256;
    let server = TestServer::start(|_, id| ok_response(id, "done"));
    let entry_vm = TestEntryVm::start(&[&server]);
    for i in 0..MAX_REQUESTS {
        assert_eq!(entry_vm.send("GET", "/read/1", &format!("a{i}")).0, 200);
    }
    assert_eq!(server.connection_count(), 1);
    assert_eq!(entry_vm.send("GET", "/read/1", "b").0, 200);
    assert_eq!(server.connection_count(), 2);
}

/// Guards against an order that is refused although it runs (REFUSED), or runs at two servers (TWICE),
/// without a caller that sends it again: a server that has restarted is listed by its old and its new id at one address. It refuses the
/// request for the old id, and sends a copy of that refusal when the request comes for the new one.
#[test]
fn copied_refusal_of_an_old_server_id_does_not_hide_that_the_new_one_runs_an_order() {
    for others in [0, 1] {
        let runs = Runs::default();
        let restarted = copying_server(REFUSALS[2], 1, &runs);
        let others: Vec<TestServer> = (0..others)
            .map(|_| copying_server(REFUSALS[2], 0, &runs))
            .collect();
        let listed: Vec<&TestServer> = [&restarted, &restarted]
            .into_iter()
            .chain(&others)
            .collect();
        let entry_vm = TestEntryVm::start(&listed);
        let mut routes = routes();
        routes.generation += 1;
        for route in routes.hosts.values_mut().flatten() {
            route.max_attempts = 3;
        }
        assert!(entry_vm.node.set_routes(routes));
        for i in 0..6 {
            let id = format!("a{i}");
            let (status, head, body) = entry_vm.send("POST", "/order/1", &id);
            let case = format!("{} others, order {i}: {head}", others.len());
            assert_eq!(runs_of(&runs, &id), 1, "{case}");
            assert_eq!((status, &*body), (200, &*id), "{case}");
        }
    }
}

/// Guards against an order that is refused although it runs in another region (REFUSED): the connection
/// to the entry VM there must not carry an id twice either.
#[test]
fn copied_refusal_of_another_region_does_not_hide_that_an_order_runs() {
    let refused = Mutex::new(Refused::default());
    let region = TestServer::start(move |_, id| {
        let refusal = format!(
            "HTTP/1.1 503 Busy\r\nX-Id: {id}\r\nX-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
        );
        let mut refused = refused.lock().unwrap();
        let connection = (thread::current().id(), id.to_owned());
        let copies = refused.by_connection.get(&connection).copied();
        let mut bytes = refusal.repeat(copies.unwrap_or(0)).into_bytes();
        if refused.by_id.insert(id.to_owned(), 1).is_none() {
            refused.by_connection.insert(connection, 1);
            bytes.extend(refusal.into_bytes());
        } else {
            bytes.extend(ok_response_bytes(id, id));
        }
        vec![ServerAction::Send(bytes)]
    });
    let entry_vm = TestEntryVm::start(&[]);
    let _region = RemoteEntryVm::start_in("west", "alpen", &entry_vm, &region);
    let start = Instant::now();
    while entry_vm.send("GET", "/read/1", "probe").0 != 200 {
        assert!(start.elapsed() < Duration::from_secs(10), "not forwarded");
    }
    for i in 0..4 {
        let id = format!("a{i}");
        assert_eq!(entry_vm.send("POST", "/order/1", &id).0, 503, "order {i}");
        let (status, _, body) = entry_vm.send("POST", "/order/1", &id);
        assert_eq!((status, body), (200, id));
    }
}

/// Guards against new connections, and against closed ones, where another idle connection has not
/// carried the id: servers accept few connections.
#[test]
fn another_idle_connection_is_used_and_the_passed_over_one_kept() {
    let server = TestServer::start(|_, id| {
        let mut actions = vec![ServerAction::Wait(Duration::from_millis(100))];
        actions.extend(ok_response(id, "done"));
        actions
    });
    let entry_vm = TestEntryVm::start(&[&server]);
    thread::scope(|scope| {
        for id in ["x", "y"] {
            scope.spawn(|| entry_vm.send("GET", "/read/1", id));
        }
    });
    assert_eq!(server.connection_count(), 2);
    for id in ["x", "y", "z"] {
        assert_eq!(entry_vm.send("GET", "/read/1", id).0, 200);
        assert_eq!(server.connection_count(), 2, "{id}");
    }
}

/// Encodes an answer with a body of five bytes; the answer to a HEAD request has none.
fn answer_with_length(id: &str, body: &str) -> Vec<u8> {
    let head = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 5\r\n";
    format!("{head}X-Id: {id}\r\n\r\n{body}").into_bytes()
}

/// Starts a server that sends a copy of its first answer before each further one on that connection.
fn server_with_copy(answer: impl Fn(usize, &str) -> Vec<u8> + Send + Sync + 'static) -> TestServer {
    let first = Mutex::new(None);
    TestServer::start(move |n, id| {
        let mut bytes = answer(n, id);
        // Each connection has its own thread.
        let connection = thread::current().id();
        let mut first = first.lock().unwrap();
        match &*first {
            None => *first = Some((connection, bytes.clone())),
            Some((c, copy)) if *c == connection => bytes = [&copy[..], &bytes].concat(),
            Some(_) => {}
        }
        vec![ServerAction::Send(bytes)]
    })
}

/// Sends a HEAD request and returns status and head of the response.
fn send_head(entry_vm: &TestEntryVm, path: &str, id: &str) -> (u16, String) {
    let mut stream = entry_vm.connect();
    stream.write_all(&request("HEAD", path, id)).unwrap();
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("head of a response");
        bytes.push(byte[0]);
    }
    let head = String::from_utf8(bytes).unwrap();
    (head[9..12].parse().unwrap(), head)
}

/// Guards against an order whose outcome becomes unknown, because a copy of the answer to a HEAD request
/// is read as if it had a body, which takes the start of the order's answer away.
#[test]
fn copied_answer_to_a_head_request_does_not_damage_the_next_answer() {
    for refused in [false, true] {
        let first = move |id: &str| {
            if refused {
                let head = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 5\r\n";
                return format!("{head}X-Id: {id}\r\n\r\n").into_bytes();
            }
            answer_with_length(id, "")
        };
        let server = server_with_copy(move |n, id| match n {
            0 => first(id),
            _ => ok_response_bytes(id, id),
        });
        let entry_vm = TestEntryVm::start(&[&server]);
        let (status, head) = send_head(&entry_vm, "/read/1", "head");
        assert_eq!(status, if refused { 503 } else { 200 }, "{head}");
        let (status, head, body) = entry_vm.send("POST", "/order/1", "order");
        assert_eq!((status, &*body), (200, "order"), "{refused}: {head}");
        assert_eq!(server.count(), 2);
    }
}

/// Guards against an order by HEAD that is refused although it runs, or whose outcome becomes unknown,
/// because the body of a copied answer is read as the next answer.
#[test]
fn body_of_a_copied_answer_is_not_taken_for_the_answer_to_a_head_request() {
    let body = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nX-Id: head\r\n\r\n";
    for body in ["hello", body] {
        let server = server_with_copy(move |n, id| match n {
            0 => ok_response_bytes(id, body),
            _ => answer_with_length(id, ""),
        });
        let entry_vm = TestEntryVm::start(&[&server]);
        assert_eq!(entry_vm.send("GET", "/read/1", "first").0, 200);
        let (status, head) = send_head(&entry_vm, "/order/1", "head");
        assert_eq!(status, 200, "{body}: {head}");
        assert!(head.contains("Content-Length: 5"), "{head}");
        assert_eq!(server.count(), 2);
    }
}
