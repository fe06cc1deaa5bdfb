//! Process-wide Prometheus metrics recorder.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Installs the recorder; calls after the first one have no effect.
pub fn install() {
    handle();
}

/// Renders all metrics in the Prometheus text format; empty if the recorder could not be installed.
pub fn render() -> String {
    handle().map_or_else(String::new, |h| {
        h.run_upkeep();
        h.render()
    })
}

fn handle() -> Option<&'static PrometheusHandle> {
    HANDLE
        .get_or_init(|| match PrometheusBuilder::new().install_recorder() {
            Ok(h) => Some(h),
            Err(e) => {
                log::warn!("event=metrics_recorder_failed error=\"{e}\"");
                None
            }
        })
        .as_ref()
}
