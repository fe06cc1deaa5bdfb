//! The platform's list of live and leaving VMs.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use platform::VmState;

use crate::node::Node;

/// Reads the list at each tick.
pub async fn run(node: Arc<Node>, ticks: Receiver<Duration>) {
    while ticks.recv().await.is_ok() {
        let vms = match node.platform.vms().await {
            Ok(vms) => vms,
            Err(report) => {
                metrics::counter!("platform_reads_failed_total").increment(1);
                log::debug!(
                    "event=vm_list_failed error=\"{}\"",
                    report.current_context()
                );
                continue;
            }
        };
        let of = |state| {
            vms.iter()
                .filter(move |v| v.state == state)
                .map(|v| v.id.clone())
        };
        for server in of(VmState::Leaving) {
            node.admission.set_listed_leaving(&server, true);
        }
        for server in of(VmState::Live) {
            node.admission.set_listed_leaving(&server, false);
        }
        let now = node.now();
        node.lock_membership()
            .on_vm_list(of(VmState::Live), of(VmState::Leaving), now);
        node.refresh_split();
    }
}
