//! Measures heartbeats and digests over real sockets: bytes and processor time per exchange.
//!
//! Messages, HTTP heads and keyed hashes are those of the daemon. Bytes exclude TCP and IP headers.
//! Processor time includes both ends and the set-up of a new connection.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_net::TcpListener;
use binding::{KeyContext, KeyRing};
use config::KeySettings;
use entry::messages::{DIGEST_PATH, DigestRequest, HEARTBEAT_PATH, HeartbeatMessage, members_hash};
use http::Request;
use http::client::ClientOptions;
use http::peer::Signature;
use http::server::ServerOptions;
use membership::{DigestWire, HeartbeatWire};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::forwarder::{self, TrafficCounts};
use super::{CapacityReport, process};

/// Names of the services in the messages.
const SERVICES: [&str; 4] = [
    "werkdienst",
    "bestelldienst",
    "fahnendienst",
    "nachlassdienst",
];
/// Numbers of peers in the domain of the sender.
const PEER_COUNTS: [usize; 4] = [2, 8, 16, 43];
/// Number of exchanges whose bytes are counted.
const COUNTED_EXCHANGES: u64 = 20;
/// Number of exchanges whose processor time is measured.
const TIMED_EXCHANGES: u32 = 1_500;

/// Measures heartbeats by peers and digests by services.
pub async fn measure(report: &mut CapacityReport<'_>) -> io::Result<()> {
    let mut sizes = Vec::new();
    for n in PEER_COUNTS {
        let (bytes, us) = measure_exchange(HEARTBEAT_PATH, heartbeat(n), heartbeat(n)).await?;
        sizes.push((n as f64, bytes));
        report.print_line(
            "heartbeat",
            &[("peers", &n), ("exchange_bytes", &bytes), ("cpu_us", &us)],
        )?;
    }
    report.print_fit("heartbeat_exchange_bytes_by_peers", &sizes)?;
    let mut sizes = Vec::new();
    for n in [1, 2, 4, 8] {
        let (bytes, us) = measure_exchange(DIGEST_PATH, DigestRequest {}, digest(n)).await?;
        sizes.push((n as f64, bytes));
        report.print_line(
            "digest",
            &[
                ("services", &n),
                ("exchange_bytes", &bytes),
                ("cpu_us", &us),
            ],
        )?;
    }
    report.print_fit("digest_exchange_bytes_by_services", &sizes)
}

fn heartbeat(peers: usize) -> HeartbeatMessage {
    let free = SERVICES.iter().map(|s| (Box::from(*s), 150));
    let counted: Vec<_> = (0..=peers)
        .map(|n| format!("donau-1-{n:02}").into())
        .collect();
    HeartbeatMessage {
        heartbeat: HeartbeatWire {
            vm: "donau-1-02".into(),
            incarnation: u64::MAX - 7,
            uptime_ms: 86_400_000,
            state: 1,
            generation: 124_100,
            free_slots: 600,
            members: Vec::new(),
            // Age of the last message from each VM, in tenths of a second.
            ages: vec![26; counted.len()],
        },
        members_hash: members_hash(&counted),
        settled_generation: 124_100,
        service_free_slots: free.collect::<BTreeMap<_, _>>(),
    }
}

fn digest(services: usize) -> DigestWire {
    DigestWire {
        domain: "donau-1".into(),
        vm: "donau-1-02".into(),
        generation: 124_100,
        free_slots: (0..services)
            .map(|i| (SERVICES[i % SERVICES.len()].into(), 6_000))
            .collect(),
        age_ms: 0,
    }
}

/// Returns the bytes and the microseconds of processor time of one exchange.
async fn measure_exchange<Q, A>(
    path: &'static str,
    request: Q,
    response: A,
) -> io::Result<(f64, f64)>
where
    Q: Serialize + DeserializeOwned,
    A: Serialize + DeserializeOwned + Clone + Send + Sync + 'static,
{
    let keys = KeyRing::new(&[KeySettings {
        id: 1,
        secret: "secret of a measurement".into(),
    }])
    .map_err(|e| io::Error::other(e.to_string()))?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let direct = listener.local_addr()?;
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let ring = keys.clone();
    let handler = move |mut req: Request| {
        let (keys, response) = (ring.clone(), response.clone());
        async move {
            let valid =
                |s: &Signature, b: &[u8]| keys.verify(KeyContext::PeerMessage, s.key_id, b, &s.mac);
            let read: http::Result<Q> = http::peer::read(&mut req, valid).await;
            assert!(read.is_ok(), "the request is signed with the same keys");
            http::peer::response(&response)
        }
    };
    let served = http::server::serve(listener, ServerOptions::default(), stopped, handler);
    let task = runtime::spawn(served);
    let counts = Arc::new(TrafficCounts::default());
    let counted = forwarder::start(direct, counts.clone()).await?;
    for _ in 0..COUNTED_EXCHANGES {
        call::<Q, A>(&keys, counted, path, &request).await?;
    }
    let before = process::own_cpu()?;
    for _ in 0..TIMED_EXCHANGES {
        call::<Q, A>(&keys, direct, path, &request).await?;
    }
    let cpu = process::own_cpu()?.saturating_sub(before);
    drop(stop);
    task.await;
    let bytes = counts.totals().0 as f64 / COUNTED_EXCHANGES as f64;
    Ok((bytes, cpu.as_secs_f64() * 1e6 / f64::from(TIMED_EXCHANGES)))
}

async fn call<Q: Serialize, A: DeserializeOwned>(
    keys: &KeyRing,
    address: SocketAddr,
    path: &str,
    request: &Q,
) -> io::Result<A> {
    let sign = |bytes: &[u8]| {
        let (key_id, mac) = keys.sign(KeyContext::PeerMessage, bytes);
        Signature { key_id, mac }
    };
    let options = ClientOptions::default();
    let exchange = async {
        let tcp = http::client::connect(address, options.connect_timeout).await?;
        http::peer::call(tcp, path, request, sign, &options).await
    };
    Box::pin(exchange)
        .await
        .map_err(|e| io::Error::other(e.to_string()))
}
