//! Test harness: an entry VM, scripted servers and a client.

use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, Once};
use std::thread;
use std::time::Duration;

use dispatch::{Route, RouteTable, Server, Service, WeightedService};
use gateway::{Dialect, HeaderNames, LookUpQuery, Node, Settings};
use standins::partition;

/// Threads of the executor in tests with an entry VM.
pub const EXECUTOR_THREADS: usize = 2;

/// Header names and formats of the test platform.
pub const DIALECT: Dialect = Dialect {
    headers: HeaderNames {
        request_id: "x-id",
        deadline_ms: "x-deadline",
        object: "x-object",
        signature: "x-signature",
        expected_server: "x-server",
        load: "x-load",
        not_run: "x-not-run",
    },
    readiness_path: "/ready",
    look_up_path: "/look-up",
    parse_look_up: |_| LookUpQuery {
        host: "shop.example".into(),
        domain: "north".into(),
        region: "donau".into(),
    },
    encode_look_up: |addresses, _| format!("{addresses:?}").into_bytes(),
    look_up_content_type: "text/plain",
    parse_load: |_| None,
};

/// Step of a scripted server's handling of a request.
pub enum ServerAction {
    Send(Vec<u8>),
    /// Sends the bytes again and again until the gateway closes the connection.
    SendForever(Vec<u8>),
    /// Waits, and stops handling if the gateway closes the connection meanwhile.
    Wait(Duration),
    /// Closes the connection.
    Close,
}

/// A backend server whose responses are scripted.
pub struct TestServer {
    pub address: SocketAddr,
    /// Heads and bodies of the received requests, in order.
    pub requests: Arc<Mutex<Vec<String>>>,
    /// Connections that the gateway closed while a request was being handled.
    pub cancelled: Arc<AtomicUsize>,
    /// `None` if nothing listens at the address.
    listener: Option<Arc<TcpListener>>,
    /// Accepted connections.
    streams: Arc<Mutex<Vec<TcpStream>>>,
    script: Mutex<Option<Arc<Script>>>,
}

type Script = dyn Fn(usize, &str) -> Vec<ServerAction> + Send + Sync;

impl TestServer {
    /// Starts a server; `script` gets the number of the request, counted from 0, and its id.
    pub fn start(
        script: impl Fn(usize, &str) -> Vec<ServerAction> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind listener");
        Self::serve(listener, script)
    }

    /// Returns a server at whose address nothing listens.
    pub fn absent(address: SocketAddr) -> Self {
        TestServer {
            address,
            requests: Arc::default(),
            cancelled: Arc::default(),
            listener: None,
            streams: Arc::default(),
            script: Mutex::default(),
        }
    }

    /// Serves new connections until they are refused.
    fn accept(&self) {
        let listener = self.listener.clone().expect("listener");
        let script = self.script.lock().expect("lock script").clone();
        let script = script.expect("script");
        let (requests, cancelled) = (self.requests.clone(), self.cancelled.clone());
        let streams = self.streams.clone();
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let copy = stream.try_clone().expect("clone stream");
                streams.lock().expect("lock streams").push(copy);
                let (script, requests) = (script.clone(), requests.clone());
                let cancelled = cancelled.clone();
                thread::spawn(move || serve(stream, &*script, &requests, &cancelled));
            }
        });
    }

    /// Refuses new connections; open ones go on.
    pub fn refuse_new(&self) {
        let listener = self.listener.as_ref().expect("listener");
        rustix::net::shutdown(listener, rustix::net::Shutdown::Both).expect("shut listener down");
    }

    /// Resets all open connections.
    pub fn reset_open(&self) {
        for stream in self.streams.lock().expect("lock streams").drain(..) {
            let linger = Some(Duration::ZERO);
            // The peer may have closed it.
            let _ = rustix::net::sockopt::set_socket_linger(&stream, linger);
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Accepts connections again.
    pub fn accept_again(&self) {
        let listener = self.listener.as_ref().expect("listener");
        rustix::net::listen(listener, 128).expect("listen");
        self.accept();
    }

    /// Serves the connections of a listener, as [`TestServer::start`] does.
    pub fn serve(
        listener: TcpListener,
        script: impl Fn(usize, &str) -> Vec<ServerAction> + Send + Sync + 'static,
    ) -> Self {
        let listener = Arc::new(listener);
        let server = TestServer {
            listener: Some(listener.clone()),
            ..Self::absent(listener.local_addr().expect("listener address"))
        };
        *server.script.lock().expect("lock script") = Some(Arc::new(script));
        server.accept();
        server
    }

    /// Cuts the server off from the entry VM: nothing that is sent to it arrives.
    pub fn cut(&self) {
        let listener = self.listener.as_ref().expect("listener");
        partition::cut(&**listener).expect("cut listener");
        for stream in self.streams.lock().expect("lock streams").iter() {
            partition::cut(stream).expect("cut connection");
        }
    }

    /// Ends the cut. What is sent again by then arrives.
    pub fn heal(&self) {
        let listener = self.listener.as_ref().expect("listener");
        partition::heal(&**listener).expect("heal listener");
        for stream in self.streams.lock().expect("lock streams").iter() {
            partition::heal(stream).expect("heal connection");
        }
    }

    /// Returns the number of connections accepted so far.
    pub fn connection_count(&self) -> usize {
        self.streams.lock().expect("lock streams").len()
    }

    pub fn count(&self) -> usize {
        self.requests.lock().expect("lock requests").len()
    }
}

fn serve(
    mut stream: TcpStream,
    script: &(impl Fn(usize, &str) -> Vec<ServerAction> + ?Sized),
    requests: &Mutex<Vec<String>>,
    cancelled: &AtomicUsize,
) {
    while let Some((head, body)) = read_message(&mut stream) {
        let id = header_value(&head, "x-id").unwrap_or_default();
        let number = {
            let mut requests = requests.lock().expect("lock requests");
            requests.push(head + &String::from_utf8_lossy(&body));
            requests.len() - 1
        };
        for action in script(number, &id) {
            match action {
                ServerAction::Send(bytes) => {
                    if stream.write_all(&bytes).is_err() {
                        return;
                    }
                }
                ServerAction::SendForever(bytes) => {
                    while stream.write_all(&bytes).is_ok() {}
                    cancelled.fetch_add(1, Ordering::SeqCst);
                    return;
                }
                ServerAction::Wait(time) => {
                    stream.set_read_timeout(Some(time)).expect("set timeout");
                    let mut byte = [0];
                    let closed = match stream.peek(&mut byte) {
                        Ok(n) => n == 0,
                        Err(e) => e.kind() == ErrorKind::ConnectionReset,
                    };
                    if closed {
                        cancelled.fetch_add(1, Ordering::SeqCst);
                        return;
                    }
                    stream.set_read_timeout(None).expect("set timeout");
                }
                ServerAction::Close => {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    }
}

/// Reads a message with `Content-Length` or without a body; `None` if the connection ends.
pub fn read_message(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?;
    let length = header_value(&head, "content-length")
        .map_or(0, |l| l.parse().expect("parse content-length"));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// Returns the first value of a header field.
pub fn header_value(head: &str, name: &str) -> Option<String> {
    head.lines()
        .filter_map(|l| l.split_once(':'))
        .find(|(n, _)| n.eq_ignore_ascii_case(name))
        .map(|(_, v)| v.trim().to_owned())
}

/// Script for a complete signed response.
pub fn ok_response(id: &str, body: &str) -> Vec<ServerAction> {
    vec![ServerAction::Send(ok_response_bytes(id, body))]
}

/// Encodes a complete signed response.
pub fn ok_response_bytes(id: &str, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nX-Id: {id}\r\nX-Signature: s\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Script for a refusal by a server that did not run the request.
pub fn shed_response(id: &str) -> Vec<ServerAction> {
    let text = format!(
        "HTTP/1.1 503 Service Unavailable\r\nX-Id: {id}\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    );
    vec![ServerAction::Send(text.into_bytes())]
}

/// An entry VM under test.
pub struct TestEntryVm {
    pub node: Arc<Node>,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub look_ups: SocketAddr,
}

impl TestEntryVm {
    /// Starts an entry VM in front of `servers`. Requests to `/read/` are idempotent, those to
    /// `/order/` and, with a longer timeout, to `/long/` are binding.
    pub fn start(servers: &[&TestServer]) -> Self {
        let entry_vm = Self::launch("entry", "north", servers);
        entry_vm.become_ready();
        entry_vm
    }

    /// Starts an entry VM in the region donau that is not ready: it has no configuration and does not
    /// know the other members.
    pub fn launch(id: &str, domain: &str, servers: &[&TestServer]) -> Self {
        start_executor(EXECUTOR_THREADS);
        let settings = Settings {
            domains: [
                ("north".into(), "donau".into()),
                ("west".into(), "alpen".into()),
            ]
            .into(),
            id: id.into(),
            domain: domain.into(),
            region: "donau".into(),
            callers: free_address(),
            readiness: free_address(),
            look_ups: free_address(),
            peers: free_address(),
            metrics: free_address(),
            grace_period: Duration::from_secs(3),
            retry_allowance: 100.0,
            ..Settings::default()
        };
        let (callers, readiness) = (settings.callers, settings.readiness);
        let look_ups = settings.look_ups;
        let start = gateway::start(settings, DIALECT, runtime::Clock::start());
        let node = runtime::block_on(1, start).expect("start entry VM");
        for (i, server) in servers.iter().enumerate() {
            node.put_server(server_entry(i, server.address));
        }
        node.mark_servers_listed();
        node.set_platform_connected(true);
        TestEntryVm {
            node,
            callers,
            readiness,
            look_ups,
        }
    }

    /// Gives a launched entry VM what it needs to be ready.
    pub fn become_ready(&self) {
        self.node.mark_members_known();
        assert!(self.node.set_routes(routes()));
    }

    /// Starts a graceful stop; it ends on the returned thread.
    pub fn start_stop(&self) -> thread::JoinHandle<()> {
        let (tx, rx) = async_channel::bounded::<()>(1);
        let node = self.node.clone();
        drop(tx);
        thread::spawn(move || runtime::block_on(1, gateway::run_until(&node, rx)))
    }

    /// Returns status and body of the answer to a look-up.
    pub fn look_up(&self) -> (u16, String) {
        let mut stream = TcpStream::connect(self.look_ups).expect("connect for a look-up");
        let request = b"GET /look-up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        stream.write_all(request).expect("write look-up");
        let (status, _, body) = read_response(&mut stream).expect("answer to a look-up");
        (status, body)
    }

    /// Opens a connection as a caller.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.callers).expect("connect to entry VM");
        let limit = Some(Duration::from_secs(10));
        stream.set_read_timeout(limit).expect("set timeout");
        stream
    }

    /// Sends a request on a new connection and returns status, head and body of the response.
    pub fn send(&self, method: &str, path: &str, id: &str) -> (u16, String, String) {
        let mut stream = self.connect();
        stream
            .write_all(&request(method, path, id))
            .expect("write request");
        read_response(&mut stream).expect("response")
    }
}

/// Encodes a request with a deadline of 2 s.
pub fn request(method: &str, path: &str, id: &str) -> Vec<u8> {
    request_with_deadline(method, path, id, 2000)
}

/// Encodes a request.
pub fn request_with_deadline(method: &str, path: &str, id: &str, deadline_ms: u32) -> Vec<u8> {
    let body = if method == "POST" {
        "Content-Length: 5\r\n\r\nhello"
    } else {
        "\r\n"
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Id: {id}\r\nX-Deadline: {deadline_ms}\r\n{body}"
    )
    .into_bytes()
}

/// Reads a response and returns its status, head and body.
pub fn read_response(stream: &mut TcpStream) -> Option<(u16, String, String)> {
    let (head, body) = read_message(stream)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, head, String::from_utf8_lossy(&body).into_owned()))
}

pub fn server_entry(i: usize, address: SocketAddr) -> Server {
    Server {
        id: format!("s{i}").into(),
        service: "work".into(),
        address,
        domain: "north".into(),
        slots: 3,
        ready: true,
        cold_until: None,
        started_at_ms: 1,
    }
}

/// Returns the routes of [`TestEntryVm::start`].
pub fn routes() -> RouteTable {
    let route = |prefix: &str, binding| Route {
        name: prefix.into(),
        prefix: prefix.into(),
        binding,
        timeout: Duration::from_secs(2),
        target_latency: Duration::from_millis(500),
        max_attempts: 2,
        priority: 1,
        weighted_services: [WeightedService {
            service: "work".into(),
            weight: 1,
        }]
        .into_iter()
        .collect(),
        allowed_regions: smallvec::SmallVec::new(),
        object_affinity: true,
    };
    let service = Service {
        health_path: "/health".into(),
        connection_limit: 100,
        cold_start: Duration::from_secs(1),
        cold_per_s: 100.0,
    };
    let long = Route {
        timeout: Duration::from_secs(6),
        ..route("/long/", true)
    };
    let routes = vec![route("/read/", false), route("/order/", true), long];
    RouteTable {
        generation: 1,
        hosts: [("shop.example".into(), routes)].into(),
        services: [("work".into(), service)].into(),
        ..RouteTable::default()
    }
}

fn free_address() -> SocketAddr {
    standins::address::free().expect("free loopback port")
}

/// Runs the executor of the process in the background; only the first call has an effect.
pub fn start_executor(threads: usize) {
    static STARTED: Once = Once::new();
    STARTED.call_once(|| {
        thread::spawn(move || runtime::block_on(threads, std::future::pending::<()>()));
    });
}
