//! Requests forwarded between entry VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use config::{Class, DomainId, RegionId};
use http::client::{self, ClientOptions};
use http::codes::{self, CODE_HEADER, Code, Refusal};
use http::peer::Signature;
use http::{Body, Error, Method, Request, Response};

use crate::node::Node;
use crate::reach;
use crate::request::{
    DEADLINE_HEADER, HOUSE_HEADER, KEY_HEADER, Meta, Outgoing, SERVICE_HEADER, TICKET_HEADER,
    WorkIdentity,
};

/// Path of requests to the entry VM that owns the ticket or holds the key.
pub const WORK_PATH: &str = "/peer/work";
/// Path of requests to the servers of another failure domain.
pub const RELAY_PATH: &str = "/peer/relay";
/// Header with the method of the forwarded request.
const METHOD_HEADER: &str = "x-relay-method";
/// Header with the failure domain of the entry VM that forwards the request.
const FROM_HEADER: &str = "x-relay-from";
/// Header with the path and query of the forwarded request.
const PATH_HEADER: &str = "x-relay-path";
/// Time limit for opening a connection to another entry VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Size charged to a link for the head of a forwarded request, in bytes.
const HEAD_BYTES: u64 = 1024;
/// Headers covered by the keyed hash, in this order.
const SIGNED_HEADERS: [&str; 8] = [
    FROM_HEADER,
    METHOD_HEADER,
    PATH_HEADER,
    SERVICE_HEADER,
    HOUSE_HEADER,
    TICKET_HEADER,
    KEY_HEADER,
    DEADLINE_HEADER,
];

/// Forwards a binding request to the entry VM that owns its ticket.
pub async fn forward_to_owner(
    node: &Arc<Node>,
    owner: &str,
    meta: Meta,
    outgoing: Outgoing,
) -> Response {
    let address = node
        .in_force()
        .and_then(|c| c.entry_vm(owner).map(|v| v.peer_address));
    let Some(address) = address else {
        return codes::refusal(Code::OwnerGone, "the entry VM is not in the configuration");
    };
    // The owner may have executed the ticket before, so no failure here proves that it did not run.
    match forward(node, address, WORK_PATH, &meta, &outgoing).await {
        Ok(res) => res,
        Err(error) => codes::refusal(Code::OwnerGone, &error.to_string()),
    }
}

/// Forwards a request to an entry VM and returns its answer, whose body may still be arriving.
pub async fn forward(
    node: &Node,
    address: SocketAddr,
    path: &str,
    meta: &Meta,
    outgoing: &Outgoing,
) -> Result<Response, Error> {
    if let Some(region) = other_region_of(node, address) {
        let bytes = outgoing.body().len() as u64 + HEAD_BYTES;
        node.links.wait_to_send(&region, meta.class, bytes).await;
    }
    let remaining = meta.deadline.saturating_sub(node.now());
    let tcp = reach::connect(&node.reachable, address, CONNECT_TIMEOUT.min(remaining))
        .await
        .map_err(|e| *e.current_context())?;
    let req = build_request(node, path, meta, outgoing)?;
    let options = ClientOptions {
        timeout: meta.deadline.saturating_sub(node.now()),
        max_body: node.settings.max_response_body,
        limit_delivery: true,
        ..ClientOptions::default()
    };
    Box::pin(client::send(tcp, req, &options))
        .await
        .map_err(|e| *e.current_context())
}

/// Returns the region of an entry VM if it differs from this VM's region.
fn other_region_of(node: &Node, address: SocketAddr) -> Option<RegionId> {
    let cfg = node.in_force()?;
    let mut vms = cfg.configuration.inventory.entry_vms.iter();
    node.other_region(&vms.find(|v| v.peer_address == address)?.domain)
}

fn build_request(
    node: &Node,
    path: &str,
    meta: &Meta,
    outgoing: &Outgoing,
) -> Result<Request, Error> {
    let remaining = meta.deadline.saturating_sub(node.now());
    let mut req = outgoing.build(remaining);
    let target = client::build_request(Method::Post, path).map_err(|e| *e.current_context())?;
    req.set_method(Method::Post);
    *req.url_mut() = target.url().clone();
    req.remove_header("host");
    req.insert_header(FROM_HEADER, &*node.settings.domain);
    req.insert_header(METHOD_HEADER, outgoing.method().to_string());
    req.insert_header(PATH_HEADER, outgoing.path());
    req.insert_header(SERVICE_HEADER, &*meta.service);
    req.insert_header(HOUSE_HEADER, &*meta.house);
    match &meta.identity {
        Some(WorkIdentity::Ticket(ticket)) => {
            req.insert_header(TICKET_HEADER, &**ticket);
        }
        Some(WorkIdentity::Key(key)) => {
            req.insert_header(KEY_HEADER, &**key);
        }
        None => {}
    }
    let signature = node.sign(&signed_bytes(path, &req, outgoing.body()));
    signature.insert(&mut req);
    Ok(req)
}

/// Restores the original request from a forwarded one. Returns it with the failure domain of the
/// entry VM that forwarded it, or the refusal to answer with.
pub async fn unpack(
    node: &Node,
    path: &str,
    mut req: Request,
) -> Result<(Request, DomainId), Refusal> {
    let body = req.body_bytes().await.unwrap_or_default();
    let valid =
        Signature::read(&req).is_some_and(|s| node.verify(&s, &signed_bytes(path, &req, &body)));
    if !valid {
        metrics::counter!("peer_messages_refused_total").increment(1);
        return Err(Refusal::new(Code::BadPeer, "the keyed hash does not match"));
    }
    let header = |name: &str| req.header(name).map(|v| v.as_str().to_owned());
    let method = header(METHOD_HEADER).and_then(|m| m.parse::<Method>().ok());
    let target = header(PATH_HEADER).and_then(|p| client::build_request(Method::Get, &p).ok());
    let from: DomainId = header(FROM_HEADER).unwrap_or_default().into();
    let (Some(method), Some(target)) = (method, target) else {
        return Err(Refusal::new(
            Code::BadRequest,
            "relayed method or path is invalid",
        ));
    };
    req.set_method(method);
    *req.url_mut() = target.url().clone();
    for name in [FROM_HEADER, METHOD_HEADER, PATH_HEADER] {
        req.remove_header(name);
    }
    Signature::remove(&mut req);
    req.set_body(Body::from_bytes(body));
    Ok((req, from))
}

fn signed_bytes(path: &str, req: &Request, body: &[u8]) -> Vec<u8> {
    let mut bytes = path.as_bytes().to_vec();
    for name in SIGNED_HEADERS {
        bytes.push(0);
        if let Some(value) = req.header(name) {
            bytes.extend_from_slice(value.as_str().as_bytes());
        }
    }
    bytes.push(0);
    bytes.extend_from_slice(body);
    bytes
}

/// Relays a request to an entry VM of another failure domain.
///
/// `Err` means that the request may be sent elsewhere: it did not run there, or its class allows a
/// second run.
pub async fn relay_to(
    node: &Node,
    address: SocketAddr,
    meta: &Meta,
    outgoing: &Outgoing,
) -> Result<Response, Code> {
    match forward(node, address, RELAY_PATH, meta, outgoing).await {
        Ok(res) if is_not_run_refusal(&res) => Err(Code::ShareExhausted),
        Ok(res) => Ok(res),
        Err(Error::Connect) => Err(Code::NoServer),
        // Work of the other classes may run twice, so the caller of this function may retry it.
        Err(_) if meta.class != Class::Binding => Err(Code::ConnectionLost),
        Err(_) => Ok(codes::refusal(
            Code::ConnectionLost,
            "the other failure domain is cut off",
        )),
    }
}

fn is_not_run_refusal(res: &Response) -> bool {
    let is_refusal = res.header(CODE_HEADER).is_some();
    let outcome = res.header(codes::OUTCOME_HEADER).map(|v| v.as_str());
    is_refusal && outcome == Some(codes::ExecutionStatus::NotRun.as_str())
}
