//! Authenticated messages between entry VMs: `MessagePack` bodies with a keyed hash.

use async_net::TcpStream;
use error_stack::{Report, ResultExt, bail};
use http_types::{Body, Method, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::client::{ClientOptions, build_request, exchange};
use crate::error::{Error, Result};

/// Header with the key id.
pub const KEY_HEADER: &str = "x-key-id";
/// Header with the keyed hash in hexadecimal.
pub const MAC_HEADER: &str = "x-mac";

/// Key id and keyed hash of a message.
#[derive(Clone, Copy, Debug)]
pub struct Signature {
    /// Key id.
    pub key_id: u32,
    /// Keyed hash.
    pub mac: [u8; 32],
}

/// Sends a message to a peer on an open connection and returns its answer.
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

/// Reads a peer's message; `verify` checks the keyed hash.
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

/// Builds the answer to a peer's message.
pub fn response<T: Serialize>(value: &T) -> Response {
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(Body::from_bytes(
        rmp_serde::to_vec_named(value).unwrap_or_default(),
    ));
    res
}

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
    /// Writes the signature into the headers.
    pub fn insert(&self, req: &mut Request) {
        req.insert_header(KEY_HEADER, self.key_id.to_string());
        req.insert_header(MAC_HEADER, hex_mac(&self.mac));
    }

    /// Reads the signature from the headers.
    pub fn read(req: &Request) -> Option<Signature> {
        let key_id = req.header(KEY_HEADER)?.as_str().parse().ok()?;
        let mac = blake3::Hash::from_hex(req.header(MAC_HEADER)?.as_str()).ok()?;
        Some(Signature {
            key_id,
            mac: *mac.as_bytes(),
        })
    }

    /// Removes the signature from the headers.
    pub fn remove(req: &mut Request) {
        req.remove_header(KEY_HEADER);
        req.remove_header(MAC_HEADER);
    }
}
