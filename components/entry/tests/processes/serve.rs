//! Look-ups and requests without failures.

use deployment::{Caller, CallerRequest, RequestOutcome};

use crate::common::{DEADLINE, MixedLoad, Setup, caller, require_consistent, sleep_ms};
use deployment::sample::{LISTINGS, ORDERS};

/// Guards against an entry VM that serves callers only inside a test process or only in one failure
/// domain.
#[test]
fn both_domains_serve_callers_end_to_end() {
    Setup::new("end-to-end").run(async |d| {
        for vm in d.running() {
            let single_vm_caller = Caller {
                entry_vms: vec![vm.caller_address],
                deadline: DEADLINE,
            };
            for (service, binding) in [(ORDERS, true), (LISTINGS, false)] {
                let work = CallerRequest {
                    service: service.into(),
                    house: "house".into(),
                    id: format!("first-{}-{service}", vm.id).into(),
                    binding,
                    response_bytes: 100_000,
                };
                let found = single_vm_caller.look_up(service).await.unwrap();
                assert_eq!(found.ticket.is_some(), binding);
                let same_domain = |id: &str| d.entry_vm(id).is_some_and(|v| v.domain == vm.domain);
                assert!(same_domain(&found.entry_vms[0].id), "{found:?}");
                assert_eq!(
                    single_vm_caller.send_with_retries(&work).await,
                    RequestOutcome::Complete,
                    "{work:?}"
                );
            }
        }
        let load = MixedLoad::start(&caller(d));
        sleep_ms(2_000).await;
        let operations = load.finish().await;
        let verdict = require_consistent("end-to-end", d, &operations);
        assert!(verdict.unknown.is_empty(), "{verdict}");
        assert_eq!(d.servers_over_slot_limit(), []);
    });
}
