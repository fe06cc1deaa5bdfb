//! Servers that answer wrongly or not at all.

use deployment::history::{Operation, Verdict};
use deployment::load::Plan;
use deployment::sample::{ARCHIVE, LISTINGS, ORDERS, Shape};
use deployment::{Answer, Deployment};
use standins::server::{ResponseFault, ResponseFaultRule};

use crate::common::{All, caller, options, pause, require, run};

/// Share of bad answers.
const BAD: f64 = 0.2;
/// Share of the retry budget.
const BUDGET_SHARE: f64 = 0.05;

/// Runs a load while every server gives bad answers of one kind.
async fn spoil(
    name: &str,
    kind: ResponseFault,
    change: impl Fn(&mut Plan),
) -> (Deployment, Vec<Operation>, Verdict) {
    let d = Deployment::start(options(Shape::default())).await.unwrap();
    for server in d.servers.values() {
        server.set_faults(|f| {
            f.bad_answers = Some(ResponseFaultRule {
                kind,
                probability: BAD,
                left: None,
            });
        });
    }
    let load = All::start(&caller(&d), change);
    pause(2_000).await;
    let operations = load.finish().await;
    let verdict = require(name, &d, &operations);
    let bad: u64 = d.servers.values().map(|s| s.stats().bad_answers).sum();
    println!("test={name} bad_answers={bad}");
    assert!(bad > 0);
    (d, operations, verdict)
}

/// Requires that retries of work that may run again stay within their budget.
fn require_budget(d: &Deployment, operations: &[Operation]) {
    let runs = d.runs();
    for service in [LISTINGS, ARCHIVE] {
        let own: Vec<_> = operations
            .iter()
            .filter(|o| o.id.starts_with(service))
            .collect();
        let attempts: usize = own.iter().map(|o| o.attempts.len()).sum();
        let started: u64 = own.iter().filter_map(|o| runs.get(&o.id)).sum();
        println!("service={service} attempts={attempts} started={started}");
        assert!(
            started as f64 <= attempts as f64 * (1.0 + BUDGET_SHARE),
            "{service}: {started} of {attempts}"
        );
    }
}

/// Requires that binding work with a bad answer ended with one of these codes, each seen.
fn require_codes(operations: &[Operation], codes: &[u16]) {
    let orders = operations.iter().filter(|o| o.id.starts_with(ORDERS));
    let mut seen = 0;
    for answer in orders.flat_map(|o| &o.attempts).map(|a| &a.answer) {
        if let Answer::Unknown(code) = answer {
            // 307 repeats an unknown outcome to a retry.
            assert!(codes.contains(code) || *code == 307, "{answer:?}");
            seen += usize::from(codes.contains(code));
        }
    }
    assert!(seen > 0, "no binding work ended with {codes:?}");
}

/// Guards against a cut answer that a caller takes for whole, short and long ones.
#[test]
fn cut_answers_are_never_whole() {
    run(async {
        for (name, bytes) in [("cut-short", 2_000), ("cut-long", 200_000)] {
            let (d, operations, _) =
                spoil(name, ResponseFault::Truncate, |p| p.answer_bytes = bytes).await;
            require_codes(&operations, &[302]);
            require_budget(&d, &operations);
        }
    });
}

/// Guards against an answer whose end is ambiguous.
#[test]
fn answers_with_two_lengths_are_rejected() {
    run(async {
        let (d, operations, _) = spoil("two-lengths", ResponseFault::TwoLengths, |_| {}).await;
        require_codes(&operations, &[305]);
        require_budget(&d, &operations);
    });
}

/// Guards against an answer whose end cannot be told from a cut.
#[test]
fn answers_without_length_are_rejected() {
    run(async {
        let (d, operations, _) = spoil("no-length", ResponseFault::NoLength, |_| {}).await;
        require_codes(&operations, &[302, 305]);
        require_budget(&d, &operations);
    });
}

/// Guards against a second run of binding work after a server closed without an answer, whether
/// or not it ran the first.
#[test]
fn closed_connections_leave_binding_work_unknown() {
    run(async {
        for (name, kind) in [
            ("close", ResponseFault::Close),
            ("close-before-work", ResponseFault::CloseBeforeWork),
        ] {
            let (d, operations, _) = spoil(name, kind, |_| {}).await;
            require_codes(&operations, &[304, 302]);
            require_budget(&d, &operations);
        }
    });
}

/// Guards against work that is refused as not run although another server would take it, and
/// against a wrong refusal when all of them shed.
#[test]
fn shed_requests_are_sent_elsewhere_or_refused_as_not_run() {
    run(async {
        let d = Deployment::start(options(Shape::default())).await.unwrap();
        let first = d.servers.keys().next().unwrap().clone();
        d.servers[&first].set_faults(|f| f.shed_all = true);
        let load = All::start(&caller(&d), |_| {});
        pause(1_500).await;
        for server in d.servers.values() {
            server.set_faults(|f| f.shed_all = true);
        }
        pause(1_000).await;
        let operations = load.finish().await;
        let verdict = require("shed", &d, &operations);
        assert!(
            verdict.unknown.is_empty(),
            "a shed request surely did not run: {verdict}"
        );
        assert!(verdict.not_run.contains_key(&205), "{verdict}");
    });
}
