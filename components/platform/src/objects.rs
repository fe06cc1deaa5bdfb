//! Object store; objects are immutable and named by the hash of their content.

use error_stack::{Report, ResultExt, bail};
use http::client::build_request;
use http::{Body, Method, StatusCode};

use crate::client::{Client, RequestKind, check_name};
use crate::error::{Error, Result};

/// Returns the name of the object with this content: its BLAKE3 hash in hexadecimal.
pub fn object_name(body: &[u8]) -> Box<str> {
    blake3::hash(body).to_hex().as_str().into()
}

impl Client {
    /// Stores an object and returns its name; storing the same content again has no effect.
    pub async fn put_object(&self, body: &[u8]) -> Result<Box<str>> {
        let name = object_name(body);
        let path = format!("/objects/{name}");
        let res = self
            .exchange(RequestKind::Write, || {
                let mut req = build_request(Method::Put, &path)?;
                req.set_body(Body::from_bytes(body.to_vec()));
                Ok(req)
            })
            .await?;
        if !res.status().is_success() {
            bail!(Error::Refused(res.status().into()));
        }
        Ok(name)
    }

    /// Reads an object and verifies that its content matches the hash in its name.
    pub async fn object(&self, name: &str) -> Result<Vec<u8>> {
        check_name(name)?;
        let path = format!("/objects/{name}");
        let mut res = self
            .exchange(RequestKind::Read, || build_request(Method::Get, &path))
            .await?;
        if res.status() == StatusCode::NotFound {
            bail!(Report::new(Error::ObjectNotFound).attach(format!("object {name}")));
        }
        let body = res
            .body_bytes()
            .await
            .map_err(http_types::Error::into_inner)
            .map_err(|err| Report::new(Error::Unknown).attach(err.to_string()))?;
        if object_name(&body).as_ref() != name {
            metrics::counter!("platform_corrupt_objects_total").increment(1);
            let message = format!("object {name} has {} bytes", body.len());
            return Err(Report::new(Error::CorruptObject)).attach(message);
        }
        Ok(body)
    }
}
