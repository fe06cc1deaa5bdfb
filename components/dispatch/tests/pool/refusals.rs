//! Refusal of retries that every server has refused.

use crate::common::{REQUESTER, decide, grant, ms, pool, request, server};
use dispatch::{AdmissionRequest, Decision, Outcome, Pool, PoolSettings, Server};

/// Returns a retry that the server `a` has refused.
fn retry(number: u64) -> AdmissionRequest {
    AdmissionRequest {
        retry: true,
        excluded_servers: ["a".into()].into_iter().collect(),
        ..request(number)
    }
}

/// Guards against a retry that waits for a slot although each server in use has refused the request.
#[test]
fn request_that_all_servers_refused_is_refused_at_once() {
    let evacuated = Server {
        domain: "south".into(),
        ..server("b", 1)
    };
    let leaving = Server {
        ready: false,
        ..server("c", 1)
    };
    let mut pool = pool(
        &[server("a", 1), evacuated, leaving],
        PoolSettings::default(),
    );
    pool.evacuate(&["south".into()], ms(0));
    assert!(matches!(
        decide(&mut pool, retry(1), ms(1)),
        Some(Decision::Refuse { .. })
    ));
}

/// Name of a case, preparation of the pool, and request.
type Case<'a> = (&'a str, &'a dyn Fn(&mut Pool), AdmissionRequest);

/// Guards against a request that is refused at once although a server or another region may take it
/// soon.
#[test]
fn request_that_may_still_be_served_is_not_refused_at_once() {
    let busy = |pool: &mut Pool| {
        pool.upsert_server(server("b", 1), ms(0));
        let other = AdmissionRequest {
            excluded_servers: ["a".into()].into_iter().collect(),
            ..request(1)
        };
        assert!(grant(pool, other, ms(0)).is_some());
    };
    let unreachable = |pool: &mut Pool| {
        busy(pool);
        pool.end((REQUESTER, 1), Outcome::Unreachable, None, ms(0));
    };
    let cold = |pool: &mut Pool| {
        let cold = Server {
            cold_until: Some(ms(5000)),
            ..server("b", 1)
        };
        pool.upsert_server(cold, ms(0));
        pool.set_isolated(true);
    };
    let cases: [Case<'_>; 6] = [
        ("another server is busy", &busy, retry(2)),
        ("another server is not reached", &unreachable, retry(2)),
        ("another server is cold", &cold, retry(2)),
        (
            "no server is listed",
            &|pool| pool.remove_server("a"),
            retry(2),
        ),
        (
            "another region may take it",
            &|_| {},
            AdmissionRequest {
                forward_regions: ["alpen".into()].into_iter().collect(),
                ..retry(2)
            },
        ),
        (
            "it was not sent, since its server is leaving",
            &|_| {},
            AdmissionRequest {
                retry: false,
                ..retry(2)
            },
        ),
    ];
    for (case, prepare, request) in cases {
        let mut pool = pool(&[server("a", 1)], PoolSettings::default());
        prepare(&mut pool);
        assert_eq!(decide(&mut pool, request, ms(1)), None, "{case}");
        pool.upsert_server(server("d", 1), ms(50));
        let decisions = pool.schedule(ms(50));
        assert!(
            matches!(decisions[..], [((REQUESTER, 2), Decision::Grant(_))]),
            "{case}: {decisions:?}"
        );
    }
}
