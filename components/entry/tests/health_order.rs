//! Health responses of servers that arrive in another order than their probes were sent.

use std::time::Duration;

use config::{KeySettings, Rules, ServerId, Settings};
use deployment::sample::{self, LISTINGS, Shape};
use entry::Node;
use routing::server::{LoadReport, State};

const SLOTS: u32 = 4;

fn report(measured_at: u64) -> LoadReport {
    LoadReport {
        measured_at: Duration::from_secs(measured_at),
        busy: 0,
        slots: SLOTS,
    }
}

/// Guards against a late response to an earlier probe that is believed after a newer one: requests
/// would go to a server that is leaving, or none to one that is ready again. A probe may take up to
/// 1.5 s and the next one starts after 1 s.
#[test]
fn late_health_response_does_not_replace_a_newer_state() {
    let shape = Shape {
        domains: 1,
        entry_vms: 1,
        servers: 1,
        slots: SLOTS,
        ..Shape::default()
    };
    let configuration = sample::configuration(shape, Rules::default());
    let vm = configuration.inventory.entry_vms[0].clone();
    let mut servers = configuration.inventory.servers.iter();
    let server = servers.find(|s| &*s.service == LISTINGS).unwrap();
    let server: ServerId = server.id.clone();
    let settings = Settings {
        id: vm.id,
        domain: vm.domain,
        keys: vec![KeySettings {
            id: 1,
            secret: "key of a test without a network".into(),
        }],
        ..Settings::default()
    };
    let node = Node::new(settings, std::sync::Arc::new(|_| true)).unwrap();
    assert!(node.adopt(1, "object", [].into(), configuration));
    // The slots of the only entry VM are in force after a heartbeat round.
    let mut rng = fastrand::Rng::with_seed(1);
    node.lock_membership().announce_split();
    node.lock_membership()
        .peers_to_contact(node.now(), &mut rng);
    node.update_quotas();
    let free_slots = || node.admission.free_slots()[LISTINGS];
    assert_eq!(free_slots(), SLOTS);

    node.admission
        .set_health(&server, State::Leaving, report(2));
    assert_eq!(free_slots(), 0, "the server is leaving");
    node.admission.set_health(&server, State::Ready, report(1));
    assert_eq!(free_slots(), 0, "an older response made the server ready");

    node.admission.set_health(&server, State::Ready, report(3));
    assert_eq!(free_slots(), SLOTS, "a newer response is ignored");
    node.admission
        .set_health(&server, State::Leaving, report(2));
    assert_eq!(
        free_slots(),
        SLOTS,
        "an older response made the server leave"
    );
}
