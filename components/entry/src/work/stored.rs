//! Answers to binding work that are kept for retries.

use std::time::Duration;

use http::{Body, Response, StatusCode};

use crate::node::Node;

/// Complete answer of a server.
#[derive(Debug)]
pub struct StoredAnswer {
    status: u16,
    headers: Vec<(Box<str>, Box<str>)>,
    pub body: Vec<u8>,
}

impl StoredAnswer {
    /// Reads the whole answer; `None` if it is truncated or incomplete at the deadline.
    pub async fn read(mut res: Response, deadline: Duration, node: &Node) -> Option<StoredAnswer> {
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
        Some(StoredAnswer {
            status: res.status().into(),
            headers,
            body,
        })
    }

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
