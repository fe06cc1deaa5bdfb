//! Polling of the platform's list of live and leaving VMs.

use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use platform::VmState;

use super::configuration::poll_interval;
use crate::node::Node;

/// Polls the list with the same interval as the head row.
pub async fn run(node: Arc<Node>, ticks: Receiver<Duration>) {
    let mut next = Duration::ZERO;
    while let Ok(now) = ticks.recv().await {
        if now < next {
            continue;
        }
        // Half a tick earlier, so that an interval of one tick leads to a read at each tick.
        next = now + poll_interval(&node).saturating_sub(Duration::from_millis(500));
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
        let ids_in_state = |state| {
            vms.iter()
                .filter(move |v| v.state == state)
                .map(|v| v.id.clone())
        };
        for server in ids_in_state(VmState::Leaving) {
            node.admission.set_listed_leaving(&server, true);
        }
        for server in ids_in_state(VmState::Live) {
            node.admission.set_listed_leaving(&server, false);
        }
        let now = node.now();
        node.lock_membership().on_vm_list(
            ids_in_state(VmState::Live),
            ids_in_state(VmState::Leaving),
            now,
        );
        node.update_quotas();
    }
}
