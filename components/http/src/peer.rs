//! Messages between entry VMs: `MessagePack` bodies with a message authentication code (MAC).

use async_net::TcpStream;
use error_stack::{Report, ResultExt, bail};
use http_types::{Body, Method, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::client::{ClientOptions, build_request, exchange};
use crate::error::{Error, Result};

/// Header with the id of the key that signed the message.
pub const KEY_HEADER: &str = "x-key-id";
/// Header with the MAC in hexadecimal.
pub const MAC_HEADER: &str = "x-mac";

/// MAC of a message and the id of its key.
#[derive(Clone, Copy, Debug)]
pub struct Signature {
    pub key_id: u32,
    pub mac: [u8; 32],
}

/// Sends a message to a peer on an open connection and returns the response.
pub async fn call<Q: Serialize, A: DeserializeOwned>(
    tcp: TcpStream,
    path: &str,
    message: &Q,
    sign: impl Fn(&[u8]) -> Signature,
    options: &ClientOptions,
) -> Result<A> {
    let mut req = build_request(Method::Post, path)?;
    let body = rmp_serde::to_vec_named(message).change_context(Error::InvalidBody)?;
    let signature = sign(&signed_bytes(path, &body));
    signature.insert(&mut req);
    req.set_body(Body::from_bytes(body));
    let mut res = Box::pin(exchange(tcp, req, options)).await?;
    let bytes = res
        .body_bytes()
        .await
        .map_err(|_| Report::new(Error::Truncated))?;
    if res.status() != StatusCode::Ok {
        bail!(Error::InvalidMac);
    }
    rmp_serde::from_slice(&bytes).change_context(Error::InvalidBody)
}

/// Reads a message from a peer; `verify` checks the MAC of the signed bytes.
pub async fn read<T: DeserializeOwned>(
    req: &mut Request,
    verify: impl Fn(&Signature, &[u8]) -> bool,
) -> Result<T> {
    let path = req.url().path().to_owned();
    let body = req
        .body_bytes()
        .await
        .map_err(|_| Report::new(Error::Truncated))?;
    let signature = Signature::read(req).ok_or(Error::InvalidMac)?;
    if !verify(&signature, &signed_bytes(&path, &body)) {
        bail!(Error::InvalidMac);
    }
    rmp_serde::from_slice(&body).change_context(Error::InvalidBody)
}

/// Builds the response to a message from a peer.
pub fn response<T: Serialize>(value: &T) -> Response {
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(Body::from_bytes(
        rmp_serde::to_vec_named(value).unwrap_or_default(),
    ));
    res
}

/// Returns the input of the MAC: the path, a zero byte and the body.
fn signed_bytes(path: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(path.len() + 1 + body.len());
    bytes.extend_from_slice(path.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(body);
    bytes
}

fn hex_mac(mac: &[u8; 32]) -> String {
    blake3::Hash::from_bytes(*mac).to_hex().to_string()
}

impl Signature {
    /// Sets the signature headers.
    pub fn insert(&self, req: &mut Request) {
        req.insert_header(KEY_HEADER, self.key_id.to_string());
        req.insert_header(MAC_HEADER, hex_mac(&self.mac));
    }

    /// Parses the signature headers; `None` if one is missing or invalid.
    pub fn read(req: &Request) -> Option<Signature> {
        let key_id = req.header(KEY_HEADER)?.as_str().parse().ok()?;
        let mac = blake3::Hash::from_hex(req.header(MAC_HEADER)?.as_str()).ok()?;
        Some(Signature {
            key_id,
            mac: *mac.as_bytes(),
        })
    }

    /// Removes the signature headers.
    pub fn remove(req: &mut Request) {
        req.remove_header(KEY_HEADER);
        req.remove_header(MAC_HEADER);
    }
}
