//! Platform stand-in in the test process, and a client for it.

use std::net::SocketAddr;
use std::time::Duration;

use platform::{Client, ClientSettings};
use standins::platform::{Platform, PlatformSettings, serve_platform};

/// Runs a test against a new platform stand-in, then stops it.
pub fn run_with_platform<T, F: Future<Output = T>>(
    test: impl FnOnce(Platform, SocketAddr) -> F,
) -> T {
    runtime::block_on(2, async {
        let listener = async_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let platform = Platform::new(PlatformSettings {
            vm_list_lag: Duration::ZERO,
            ..PlatformSettings::default()
        });
        let (running, stop) = async_channel::bounded(1);
        let task = runtime::spawn(serve_platform(listener, platform.clone(), stop));
        let result = test(platform, addr).await;
        drop(running);
        task.await;
        result
    })
}

/// Creates a client with few attempts, short pauses and the given timeout.
pub fn client(addr: SocketAddr, timeout: Duration) -> Client {
    Client::new(ClientSettings {
        addresses: vec![addr],
        timeout,
        apply_attempts: 3,
        backoff: Duration::from_millis(2),
        ..ClientSettings::default()
    })
}
