//! TCP forwarder that counts connections and bytes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};

/// Bytes and connections of one or more forwarders.
#[derive(Debug, Default)]
pub struct TrafficCounts {
    /// Payload bytes in both directions, without TCP and IP headers.
    bytes: AtomicU64,
    /// Connections accepted.
    connections: AtomicU64,
}

impl TrafficCounts {
    /// Returns the number of bytes and of connections so far.
    pub fn totals(&self) -> (u64, u64) {
        (
            self.bytes.load(Ordering::Relaxed),
            self.connections.load(Ordering::Relaxed),
        )
    }
}

/// Listens on a free loopback address and forwards connections to `to` until the process ends;
/// returns the address.
pub async fn start(to: SocketAddr, counts: Arc<TrafficCounts>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let accept = async move {
        while let Ok((tcp, _)) = listener.accept().await {
            counts.connections.fetch_add(1, Ordering::Relaxed);
            runtime::spawn(forward(tcp, to, counts.clone())).detach();
        }
    };
    runtime::spawn(accept).detach();
    Ok(address)
}

async fn forward(from: TcpStream, to: SocketAddr, counts: Arc<TrafficCounts>) {
    let Ok(to) = TcpStream::connect(to).await else {
        return;
    };
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let upstream = copy(from.clone(), to.clone(), counts.clone());
    let downstream = copy(to, from, counts);
    future::zip(upstream, downstream).await;
}

async fn copy(mut from: TcpStream, mut to: TcpStream, counts: Arc<TrafficCounts>) {
    let mut buf = vec![0; 16 << 10];
    while let Ok(n @ 1..) = from.read(&mut buf).await {
        counts.bytes.fetch_add(n as u64, Ordering::Relaxed);
        if to.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Write);
}
