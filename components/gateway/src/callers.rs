//! Listeners for callers, and for entry VMs that forward requests.

mod session;

use std::sync::Arc;
use std::time::Duration;

use async_net::TcpListener;

use crate::node::Node;
use crate::relay::Origin;
use session::Session;

/// Maximum number of open connections on one listener. It is below the file descriptor limit of the
/// smallest entry VM, which connections to servers use as well.
const MAX_CONNECTIONS: usize = 2500;

/// Accepts connections until the process ends; those above the limit are closed at once.
pub async fn serve(node: Arc<Node>, listener: TcpListener, origin: Origin) {
    let open_connections = Arc::new(());
    let mut budget = runtime::YieldBudget::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) if Arc::strong_count(&open_connections) <= MAX_CONNECTIONS => {
                let node = node.clone();
                let open_connections = open_connections.clone();
                runtime::spawn(async move {
                    Session::new(node, stream, origin).run().await;
                    drop(open_connections);
                })
                .detach();
            }
            Ok(_) => metrics::counter!("gateway_connections_refused_total").increment(1),
            Err(e) => {
                log::warn!("event=accept_failed error=\"{e}\"");
                runtime::sleep(Duration::from_millis(20)).await;
            }
        }
        budget.step().await;
    }
}
