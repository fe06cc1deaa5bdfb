//! Look-ups at the entry VMs of a drained failure domain.

use std::time::Duration;

use config::{Configuration, Shift, ShiftReason, Source};
use deployment::{Caller, Deployment, Options};

fn source(name: &'static str, text: &'static str) -> Source<'static> {
    Source { name, text }
}

/// Returns the example with its first failure domain drained and the shifts completed.
fn drained_configuration() -> Configuration {
    let (configuration, _) = config::read_configuration(
        source(
            "inventory.json",
            include_str!("../../../examples/notensatz/inventory.json"),
        ),
        source(
            "rules.json",
            include_str!("../../../examples/notensatz/rules.json"),
        ),
    );
    let before = configuration.expect("the example is valid");
    let mut after = before.clone();
    let domain = before.inventory.domains[0].id.clone();
    after.rules.drains.domains.push(domain);
    for service in &before.inventory.services {
        let shift = Shift {
            from: config::slot_shares(&before, &service.id),
            to: config::slot_shares(&after, &service.id),
            start_ms: 1,
            reason: ShiftReason::Planned,
        };
        after.rules.shifts.insert(service.id.clone(), shift);
    }
    after
}

/// Guards against look-up responses without a ticket, with which a caller cannot send binding work.
/// The entry VMs of a drained domain list only those of other domains, whose processes they do not
/// know.
#[test]
fn look_up_of_binding_service_in_drained_domain_has_ticket() {
    let test = async {
        let options = Options {
            configuration: drained_configuration(),
            ..Options::default()
        };
        let deployment = Deployment::start(options).await.expect("deployment starts");
        let inventory = &deployment.configuration.inventory;
        let domain = &inventory.domains[0].id;
        let vms = inventory.entry_vms.iter();
        let caller = Caller {
            entry_vms: vms
                .filter(|v| v.domain == *domain)
                .map(|v| v.caller_address)
                .collect(),
            deadline: Duration::from_secs(5),
        };
        for _ in 0..20 {
            let found = caller
                .look_up("bestelldienst")
                .await
                .expect("look-up response");
            assert!(found.ticket.is_some(), "{found:?}");
        }
        deployment.stop().await
    };
    assert!(runtime::block_on(2, test));
}
