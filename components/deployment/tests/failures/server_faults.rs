//! Servers that send malformed responses, none, or shed requests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use config::EntryVm;
use deployment::history::{Attempt, HistoryReport, Operation};
use deployment::load::LoadProfile;
use deployment::sample::{ARCHIVE, LISTINGS, ORDERS, Shape};
use deployment::{Caller, CallerRequest, Credential, Deployment, RequestOutcome};
use standins::server::{ResponseFault, ResponseFaultRule};

use crate::common::{AllServices, assert_consistent, caller, options, pause, run};

/// Share of requests that get a bad response.
const BAD_RESPONSE_SHARE: f64 = 0.2;
/// Retry budget as a share of the attempts of callers.
const RETRY_BUDGET: f64 = 0.05;
/// Code of a refusal after servers shed the request.
const SERVERS_SHED: u16 = 205;
/// Code of a refusal after the other domains that were asked refused the request too.
const SHARE_EXHAUSTED: u16 = 209;
/// Time within which an entry VM receives a digest of another domain.
const DIGEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Generates load while every server sends bad responses of one kind.
async fn run_with_bad_responses(
    name: &str,
    kind: ResponseFault,
    change: impl Fn(&mut LoadProfile),
) -> (Deployment, Vec<Operation>, HistoryReport) {
    let d = Deployment::start(options(Shape::default())).await.unwrap();
    for server in d.servers.values() {
        server.set_faults(|f| {
            f.bad_answers = Some(ResponseFaultRule {
                kind,
                probability: BAD_RESPONSE_SHARE,
                left: None,
            });
        });
    }
    let load = AllServices::start(&caller(&d), change);
    pause(2_000).await;
    let operations = load.finish().await;
    let report = assert_consistent(name, &d, &operations);
    let bad_responses: u64 = d.servers.values().map(|s| s.stats().bad_answers).sum();
    println!("test={name} bad_answers={bad_responses}");
    assert!(bad_responses > 0);
    (d, operations, report)
}

/// Checks that retries of requests that may be executed again stay within the retry budget.
fn assert_retry_budget(d: &Deployment, operations: &[Operation]) {
    let execution_counts = d.execution_counts();
    for service in [LISTINGS, ARCHIVE] {
        let of_service: Vec<_> = operations
            .iter()
            .filter(|o| o.id.starts_with(service))
            .collect();
        let attempts: usize = of_service.iter().map(|o| o.attempts.len()).sum();
        let executions: u64 = of_service
            .iter()
            .filter_map(|o| execution_counts.get(&o.id))
            .sum();
        println!("service={service} attempts={attempts} started={executions}");
        assert!(
            executions as f64 <= attempts as f64 * (1.0 + RETRY_BUDGET),
            "{service}: {executions} executions for {attempts} attempts"
        );
    }
}

/// Checks that the unknown outcomes of binding work have one of these codes and that there are
/// some.
fn assert_unknown_codes(operations: &[Operation], codes: &[u16]) {
    let orders = operations.iter().filter(|o| o.id.starts_with(ORDERS));
    let mut matching = 0;
    for outcome in orders.flat_map(|o| &o.attempts).map(|a| &a.outcome) {
        if let RequestOutcome::Unknown(code) = outcome {
            // 307 reports an earlier unknown outcome to a retry.
            assert!(codes.contains(code) || *code == 307, "{outcome:?}");
            matching += usize::from(codes.contains(code));
        }
    }
    assert!(
        matching > 0,
        "no binding work had an unknown outcome with a code of {codes:?}"
    );
}

/// Guards against a truncated response, short or long, that reaches the caller as a complete one.
#[test]
fn truncated_responses_are_never_complete() {
    run(async {
        for (name, bytes) in [("cut-short", 2_000), ("cut-long", 200_000)] {
            let (d, operations, _) =
                run_with_bad_responses(name, ResponseFault::Truncate, |p| p.response_bytes = bytes)
                    .await;
            assert_unknown_codes(&operations, &[302]);
            assert_retry_budget(&d, &operations);
        }
    });
}

/// Guards against a response with two `Content-Length` headers, whose end is ambiguous.
#[test]
fn responses_with_two_lengths_are_rejected() {
    run(async {
        let (d, operations, _) =
            run_with_bad_responses("two-lengths", ResponseFault::TwoLengths, |_| {}).await;
        assert_unknown_codes(&operations, &[305]);
        assert_retry_budget(&d, &operations);
    });
}

/// Guards against a response without `Content-Length`, whose end looks like a truncation.
#[test]
fn responses_without_length_are_rejected() {
    run(async {
        let (d, operations, _) =
            run_with_bad_responses("no-length", ResponseFault::NoLength, |_| {}).await;
        assert_unknown_codes(&operations, &[302, 305]);
        assert_retry_budget(&d, &operations);
    });
}

/// Guards against a second execution of binding work after a server closed the connection without a
/// response, whether or not it executed the first attempt.
#[test]
fn closed_connections_leave_outcome_of_binding_work_unknown() {
    run(async {
        for (name, kind) in [
            ("close", ResponseFault::Close),
            ("close-before-work", ResponseFault::CloseBeforeWork),
        ] {
            let (d, operations, _) = run_with_bad_responses(name, kind, |_| {}).await;
            assert_unknown_codes(&operations, &[304, 302]);
            assert_retry_budget(&d, &operations);
        }
    });
}

/// Generates load while one server sheds, then while all do. Checks the history and that nothing is
/// answered once all shed. Returns the deployment, in which all still shed, and the refusals from
/// then on by code.
async fn run_with_shedding_servers(
    name: &str,
    domains: usize,
) -> (Deployment, BTreeMap<u16, usize>) {
    let shape = Shape {
        domains,
        ..Shape::default()
    };
    let d = Deployment::start(options(shape)).await.unwrap();
    let first = d.servers.keys().next().unwrap().clone();
    d.servers[&first].set_faults(|f| f.shed_all = true);
    let load = AllServices::start(&caller(&d), |_| {});
    pause(1_500).await;
    for server in d.servers.values() {
        server.set_faults(|f| f.shed_all = true);
    }
    let all_shed_at = Instant::now();
    pause(1_000).await;
    let operations = load.finish().await;
    let report = assert_consistent(name, &d, &operations);
    assert!(
        report.unknown.is_empty(),
        "a shed request is known not to have been executed: {report}"
    );
    let mut refusals = BTreeMap::new();
    let late = operations.iter().filter(|o| o.started_at >= all_shed_at);
    for outcome in late.flat_map(|o| &o.attempts).map(|a| &a.outcome) {
        let RequestOutcome::NotRun(code) = outcome else {
            panic!("{outcome:?} while all servers shed");
        };
        *refusals.entry(*code).or_default() += 1;
    }
    println!("test={name} all_shed={refusals:?}");
    (d, refusals)
}

/// Sends one request of a service through an entry VM.
async fn send_through(vm: &EntryVm, service: &str, id: String) -> Operation {
    let caller = Caller {
        entry_vms: vec![vm.caller_address],
        deadline: Duration::from_secs(2),
    };
    let found = caller.look_up(service).await.unwrap();
    let request = CallerRequest {
        service: service.into(),
        house: "house-0".into(),
        id: id.into(),
        binding: service == ORDERS,
        response_bytes: 500,
    };
    let started_at = Instant::now();
    let credential = Credential::from(found.ticket.as_deref());
    let outcome = caller.send(vm.caller_address, &request, credential).await;
    Operation {
        id: request.id,
        binding: request.binding,
        started_at,
        attempts: vec![Attempt {
            address: vm.caller_address,
            outcome: outcome.unwrap(),
        }],
    }
}

/// Guards against a request that is refused as not run although another server would accept it, and
/// against a refusal with a wrong outcome or code when all servers shed.
///
/// There is no other domain whose refusal could be the reason that the caller is told.
#[test]
fn shed_requests_are_sent_elsewhere_or_refused_as_not_run() {
    run(async {
        let (_, refusals) = run_with_shedding_servers("shed", 1).await;
        assert!(refusals.contains_key(&SERVERS_SHED), "{refusals:?}");
        assert!(!refusals.contains_key(&SHARE_EXHAUSTED), "{refusals:?}");
    });
}

/// Guards against a shed request that is refused although servers of another domain would accept
/// it, and against a refusal that hides that other domains were asked.
#[test]
fn requests_shed_by_own_domain_are_sent_to_another_domain() {
    run(async {
        let (d, _) = run_with_shedding_servers("shed-domains", 2).await;
        let inventory = &d.configuration.inventory;
        let home = &inventory.domains[0].id;
        let mut operations = Vec::new();
        for vm in inventory.entry_vms.iter().filter(|v| v.domain == *home) {
            // Until the first digest of the other domain arrives, no other domain is asked.
            let timeout = Instant::now() + DIGEST_TIMEOUT;
            loop {
                let id = format!("all-shed-{}", operations.len());
                let operation = send_through(vm, LISTINGS, id).await;
                let outcome = operation.attempts[0].outcome.clone();
                operations.push(operation);
                if outcome == RequestOutcome::NotRun(SHARE_EXHAUSTED) {
                    break;
                }
                assert_eq!(outcome, RequestOutcome::NotRun(SERVERS_SHED));
                assert!(Instant::now() < timeout, "{} asks no other domain", vm.id);
                pause(20).await;
            }
        }
        for server in inventory.servers.iter().filter(|s| s.domain != *home) {
            d.servers[&server.id].set_faults(|f| f.shed_all = false);
        }
        for vm in inventory.entry_vms.iter().filter(|v| v.domain == *home) {
            for service in [ORDERS, LISTINGS, ARCHIVE] {
                for i in 0..10 {
                    let id = format!("own-sheds-{}-{service}-{i}", vm.id);
                    let operation = send_through(vm, service, id).await;
                    assert_eq!(
                        operation.attempts[0].outcome,
                        RequestOutcome::Complete,
                        "{operation:?}"
                    );
                    operations.push(operation);
                }
            }
        }
        assert_consistent("shed-by-own-domain", &d, &operations);
    });
}

/// Guards against a refusal as not run of a request that a server may have executed: its first
/// attempt lost the response, and a later one was shed or got no slot.
#[test]
fn shed_retry_does_not_hide_a_lost_attempt() {
    run(async {
        let d = Deployment::start(options(Shape::default())).await.unwrap();
        for (i, server) in d.servers.values().enumerate() {
            server.set_faults(|f| {
                f.shed_all = i % 3 == 0;
                f.bad_answers = Some(ResponseFaultRule {
                    kind: ResponseFault::Close,
                    probability: 0.3,
                    left: None,
                });
            });
        }
        let load = AllServices::start(&caller(&d), |p| {
            p.max_attempts = 1;
            p.duplicate_share = 0.0;
        });
        pause(2_000).await;
        let operations = load.finish().await;
        assert_consistent("lost-then-shed", &d, &operations);
    });
}
