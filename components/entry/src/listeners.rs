//! Request handlers of the listeners for callers and for other entry VMs.

use std::sync::Arc;
use std::time::Duration;

use config::Class;
use http::codes::{self, Code, Refusal};
use http::{Method, Request, Response};

use crate::agents::{configuration, digests, heartbeats};
use crate::node::Node;
use crate::request::{Meta, Outgoing};
use crate::{links, loans, look_up, peer, relay, steer, work};

/// URL path of look-ups.
pub const LOOK_UP_PATH: &str = "/lookup";

/// Handles a request on the caller listener.
pub async fn serve_caller(node: Arc<Node>, req: Request) -> Response {
    if req.url().path() == LOOK_UP_PATH && req.method() == Method::Get {
        return look_up::serve(&node, &req);
    }
    match read_meta(&node, &req) {
        Ok(meta) => serve(&node, meta, req).await,
        Err(refusal) => refusal.response(),
    }
}

fn read_meta(node: &Node, req: &Request) -> Result<Meta, Refusal> {
    let Some(cfg) = node.in_force() else {
        return Err(Refusal::new(Code::NoConfiguration, "try another entry VM"));
    };
    let default = Duration::from_millis(cfg.rules().default_deadline_ms);
    Meta::read(req, node.now(), default, |s| cfg.class(s))
        .map_err(|(code, detail)| Refusal::new(code, detail))
}

async fn serve(node: &Arc<Node>, meta: Meta, req: Request) -> Response {
    metrics::counter!("requests_total", "service" => meta.service.to_string()).increment(1);
    let outgoing = Outgoing::take(req).await;
    match meta.class {
        Class::Binding => work::serve(node, meta, outgoing).await,
        _ if node.is_stopping() => refuse_stopping(node),
        Class::Idempotent | Class::Deferrable => steer::serve(node, &meta, &outgoing).await,
    }
}

fn refuse_stopping(node: &Node) -> Response {
    let alternative = look_up::alternative_vm(node);
    let mut res = codes::refusal(Code::Stopping, "use another entry VM");
    if let Some(address) = alternative {
        res.insert_header("x-entry-vm", address.to_string());
    }
    res
}

/// Handles a request on the peer listener.
pub async fn serve_peer(node: Arc<Node>, mut req: Request) -> Response {
    let path = req.url().path().to_owned();
    match path.as_str() {
        peer::WORK_PATH | peer::RELAY_PATH => serve_forwarded(node, &path, req).await,
        heartbeats::PATH => match read_message(&node, &mut req).await {
            Ok(message) => {
                heartbeats::on_message(&node, message).await;
                http::peer::response(&heartbeats::own_message(&node))
            }
            Err(refusal) => refusal.response(),
        },
        loans::PATH => match read_message(&node, &mut req).await {
            Ok(message) => http::peer::response(&loans::answer(&node, &message)),
            Err(refusal) => refusal.response(),
        },
        digests::PATH => match read_message::<digests::DigestRequest>(&node, &mut req).await {
            Ok(_) => http::peer::response(&digests::own_digest(&node)),
            Err(refusal) => refusal.response(),
        },
        configuration::PATH => match read_message(&node, &mut req).await {
            Ok(request) => http::peer::response(&configuration::answer(&node, &request)),
            Err(refusal) => refusal.response(),
        },
        configuration::NOTICE_PATH => match read_message(&node, &mut req).await {
            Ok(notice) => {
                configuration::on_notice(&node, &notice);
                http::peer::response(&())
            }
            Err(refusal) => refusal.response(),
        },
        _ => codes::refusal(Code::NotFound, &path),
    }
}

async fn read_message<T: serde::de::DeserializeOwned>(
    node: &Node,
    req: &mut Request,
) -> Result<T, Refusal> {
    http::peer::read(req, |signature, bytes| node.verify(signature, bytes))
        .await
        .map_err(|e| {
            metrics::counter!("peer_messages_refused_total").increment(1);
            Refusal::new(Code::BadPeer, &e.current_context().to_string())
        })
}

/// Serves a request that another entry VM forwarded.
async fn serve_forwarded(node: Arc<Node>, path: &str, req: Request) -> Response {
    let (req, from) = match peer::unpack(&node, path, req).await {
        Ok(unpacked) => unpacked,
        Err(refusal) => return refusal.response(),
    };
    let meta = match read_meta(&node, &req) {
        Ok(meta) => Meta {
            is_forwarded: true,
            ..meta
        },
        Err(refusal) => return refusal.response(),
    };
    let class = meta.class;
    let res = if path == peer::WORK_PATH {
        serve(&node, meta, req).await
    } else if node.is_stopping() {
        refuse_stopping(&node)
    } else {
        serve_relayed(&node, &meta, req).await
    };
    match node.other_region(&from) {
        Some(region) => links::pace(&node, res, &region, class),
        None => res,
    }
}

/// Serves a request that was relayed from another failure domain with the servers of this one.
async fn serve_relayed(node: &Arc<Node>, meta: &Meta, req: Request) -> Response {
    let outgoing = Outgoing::take(req).await;
    match meta.class {
        Class::Binding => work::serve_relayed(node, meta, &outgoing).await,
        _ => relay::serve(node, meta, &outgoing)
            .await
            .unwrap_or_else(relay::refuse),
    }
}
