//! Answers that are kept for retries.

use std::time::Duration;

use http::{Body, Response, StatusCode};

use crate::node::Node;

/// A server's complete answer, kept for retries of the caller.
#[derive(Debug)]
pub struct Stored {
    /// HTTP status.
    status: u16,
    /// Headers.
    headers: Vec<(Box<str>, Box<str>)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Stored {
    /// Reads the whole answer; `None` when it is cut or late.
    pub async fn take(mut res: Response, deadline: Duration, node: &Node) -> Option<Stored> {
        let remaining = deadline.saturating_sub(node.now());
        let body = runtime::timeout(remaining, res.body_bytes()).await?.ok()?;
        let headers = res
            .iter()
            .filter(|(name, _)| !matches!(name.as_str(), "content-length" | "transfer-encoding"))
            .flat_map(|(name, values)| {
                values
                    .iter()
                    .map(|v| (name.as_str().into(), v.as_str().into()))
            })
            .collect();
        Some(Stored {
            status: res.status().into(),
            headers,
            body,
        })
    }

    /// Builds the response for a caller.
    pub fn response(&self) -> Response {
        let status = StatusCode::try_from(self.status).unwrap_or(StatusCode::BadGateway);
        let mut res = Response::new(status);
        res.set_body(Body::from_bytes(self.body.clone()));
        res.remove_header("content-type");
        for (name, value) in &self.headers {
            res.append_header(&**name, &**value);
        }
        res
    }
}
