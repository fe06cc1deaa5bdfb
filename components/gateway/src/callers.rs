//! Listeners for callers, and for entry VMs that pass requests on.

mod session;

use std::sync::Arc;
use std::time::Duration;

use async_net::TcpListener;

use crate::node::Node;
use crate::relay::Origin;
use session::Session;

/// Connections that are open at the same time on one listener; below the descriptors of the
/// smallest entry VM, which are shared with connections to servers.
const MAX_CONNECTIONS: usize = 2500;

/// Accepts connections until the process ends.
pub async fn serve(node: Arc<Node>, listener: TcpListener, origin: Origin) {
    let open = Arc::new(());
    loop {
        match listener.accept().await {
            Ok((stream, _)) if Arc::strong_count(&open) <= MAX_CONNECTIONS => {
                let node = node.clone();
                let open = open.clone();
                runtime::spawn(async move {
                    Session::new(node, stream, origin).run().await;
                    drop(open);
                })
                .detach();
            }
            Ok(_) => metrics::counter!("gateway_connections_refused_total").increment(1),
            Err(e) => {
                log::warn!("event=accept_failed error=\"{e}\"");
                runtime::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}
