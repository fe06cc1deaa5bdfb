//! Heartbeats and digests: bytes and processor time per message.
//!
//! The structs have the fields of design section 9. The HTTP head is written out here in the form
//! of design section 4; bytes of TCP and IP are not included.

use std::io;

use serde::{Deserialize, Serialize};

use super::{Report, each_ns};

/// Services of a deployment.
const SERVICES: usize = 4;
/// Entry VMs named in a message: peers confirmed by a heartbeat, members listed by a digest.
const MEMBERS: [usize; 5] = [0, 2, 12, 43, 120];

/// Heartbeat of an entry VM.
#[derive(Serialize, Deserialize)]
struct Heartbeat {
    id: Box<str>,
    incarnation: u64,
    uptime_ms: u64,
    state: u8,
    generation: u64,
    /// Free slots per service.
    free: Vec<u32>,
    /// Peers whose slot share this VM counts.
    counted: Vec<(u16, u64)>,
}

/// Digest of a failure domain.
#[derive(Serialize, Deserialize)]
struct Digest {
    domain: Box<str>,
    generation: u64,
    /// Slots and free slots per service.
    services: Vec<(u32, u32)>,
    /// Number in the configuration, state and free slots of each entry VM.
    members: Vec<(u16, u8, u16)>,
}

/// Measures both messages at all sizes.
pub fn measure(r: &mut Report) -> io::Result<()> {
    let heartbeat = |n: usize| Heartbeat {
        id: "entry-321".into(),
        incarnation: u64::MAX - 7,
        uptime_ms: 86_400_000,
        state: 1,
        generation: 124_100,
        free: vec![150; SERVICES],
        counted: (0..n)
            .map(|i| (300 + i as u16, u64::MAX - i as u64))
            .collect(),
    };
    let digest = |n: usize| Digest {
        domain: "domain-13".into(),
        generation: 124_100,
        services: vec![(1_300, 700); SERVICES],
        members: (0..n).map(|i| (300 + i as u16, 1, 60)).collect(),
    };
    one(r, "heartbeat", "/peer/heartbeat", heartbeat)?;
    one(r, "digest", "/peer/digest", digest)
}

fn one<T: Serialize + for<'a> Deserialize<'a>>(
    r: &mut Report,
    name: &str,
    path: &str,
    make: impl Fn(usize) -> T,
) -> io::Result<()> {
    let key = blake3::derive_key("rosemaryglade capacity", b"secret");
    let (mut sizes, mut times) = (Vec::new(), Vec::new());
    for n in MEMBERS {
        let message = make(n);
        let body = rmp_serde::to_vec(&message).expect("plain data");
        let head = head(path, body.len());
        let ns = each_ns(10_000, |_| {
            let sent = rmp_serde::to_vec(&message).expect("plain data");
            let hash = blake3::keyed_hash(&key, &sent);
            let same = blake3::keyed_hash(&key, &sent) == hash;
            let received: T = rmp_serde::from_slice(&sent).expect("just encoded");
            (same, received)
        });
        let total = (head + body.len()) as f64;
        sizes.push((n as f64, total));
        times.push((n as f64, ns));
        r.line(
            name,
            &[
                ("members", &n),
                ("body_bytes", &body.len()),
                ("head_bytes", &head),
                ("encode_hash_verify_decode_ns", &ns),
            ],
        )?;
    }
    r.fit(&format!("{name}_bytes_by_members"), &sizes)?;
    r.fit(&format!("{name}_ns_by_members"), &times)
}

/// Bytes of a request head with key id and hash, and of the head of its empty response.
fn head(path: &str, body: usize) -> usize {
    let hash = "0".repeat(64);
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: 10.0.1.65:7001\r\ncontent-length: {body}\r\n\
         x-key-id: 1\r\nx-hash: {hash}\r\n\r\n"
    );
    let response = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    request.len() + response.len()
}
