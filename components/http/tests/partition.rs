//! Requests that are written to a connection whose link is cut.

use std::io::Read;
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use http::Method;
use http::client::{self, ClientOptions};
use standins::partition;

/// Time after the end of a cut in which the kernel sends again what is still queued.
const RETRANSMISSIONS: Duration = Duration::from_secs(3);

/// Longest time for which a request may be under way; with the time in which a stop becomes known,
/// less than the 2.5 s after which a server must get nothing.
const MAX_DELIVERY: Duration = Duration::from_millis(1500);

/// Opens a connection and cuts it; returns both ends.
async fn cut_connection() -> (async_net::TcpStream, TcpStream) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let tcp = client::connect(address, Duration::from_secs(1))
        .await
        .unwrap();
    let (server, _) = listener.accept().unwrap();
    partition::cut(&server).unwrap();
    (tcp, server)
}

/// Returns the number of bytes that arrive after the end of the cut.
fn bytes_after_cut(mut server: TcpStream) -> usize {
    partition::heal(&server).unwrap();
    server.set_read_timeout(Some(RETRANSMISSIONS)).unwrap();
    // An error means that nothing arrives: the time has passed or the connection was reset.
    server.read(&mut [0; 1024]).unwrap_or(0)
}

/// Guards against a request that reaches a server after it was given up: the kernel goes on sending
/// what was written to a connection that is closed in order.
#[test]
fn request_that_timed_out_does_not_arrive_after_a_cut() {
    runtime::block_on(1, async {
        let (tcp, server) = cut_connection().await;
        let options = ClientOptions {
            timeout: Duration::from_millis(400),
            ..ClientOptions::default()
        };
        let req = client::build_request(Method::Post, "/order").unwrap();
        let result = Box::pin(client::exchange(tcp, req, &options)).await;
        assert!(result.is_err());
        assert_eq!(bytes_after_cut(server), 0);
    });
}

/// Guards against the same for a request whose caller leaves, which drops the exchange.
#[test]
fn cancelled_request_does_not_arrive_after_a_cut() {
    runtime::block_on(1, async {
        let (tcp, server) = cut_connection().await;
        let req = client::build_request(Method::Post, "/order").unwrap();
        let options = ClientOptions::default();
        let exchange = Box::pin(client::exchange(tcp, req, &options));
        let result = runtime::timeout(Duration::from_millis(300), exchange).await;
        assert!(result.is_none());
        assert_eq!(bytes_after_cut(server), 0);
    });
}

/// Guards against a request that is still waited for and reaches a server long after it was written,
/// when the server may have announced its stop.
#[test]
fn request_does_not_arrive_after_a_cut_that_outlasts_its_delivery_time() {
    runtime::block_on(1, async {
        let (tcp, server) = cut_connection().await;
        let req = client::build_request(Method::Post, "/order").unwrap();
        let options = ClientOptions {
            limit_delivery: true,
            ..ClientOptions::default()
        };
        let begin = Instant::now();
        let result = Box::pin(client::exchange(tcp, req, &options)).await;
        assert!(result.is_err());
        assert!(begin.elapsed() < MAX_DELIVERY, "{:?}", begin.elapsed());
        assert_eq!(bytes_after_cut(server), 0);
    });
}
