//! Fixtures: pools, servers and admission requests.

use std::time::Duration;

use smallvec::SmallVec;

use dispatch::{AdmissionRequest, Decision, Grant, Outcome, Pool, PoolSettings, Server};

/// Incarnation of the requesting entry VM.
pub const REQUESTER: u64 = 7;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn server(id: &str, slots: u32) -> Server {
    Server {
        id: id.into(),
        service: "orders".into(),
        address: ([127, 0, 0, 1], 9000).into(),
        domain: "north".into(),
        slots,
        ready: true,
        cold_until: None,
        started_at_ms: 1,
    }
}

pub fn request(number: u64) -> AdmissionRequest {
    AdmissionRequest {
        id: (REQUESTER, number),
        service: "orders".into(),
        domain: "north".into(),
        target_left: ms(300),
        deadline_left: ms(1500),
        waited: Duration::ZERO,
        priority: 1,
        retry: false,
        hedge: false,
        owner_bypassed: false,
        object: None,
        excluded_servers: SmallVec::new(),
        forward_regions: SmallVec::new(),
    }
}

pub fn pool(servers: &[Server], cfg: PoolSettings) -> Pool {
    let mut pool = Pool::new(cfg);
    for server in servers {
        pool.upsert_server(server.clone(), Duration::ZERO);
    }
    pool
}

/// Submits a request and returns its decision, if it is made immediately.
pub fn decide(pool: &mut Pool, request: AdmissionRequest, now: Duration) -> Option<Decision> {
    let id = request.id;
    pool.submit(request, now);
    let decisions = pool.schedule(now);
    decisions
        .into_iter()
        .find(|(i, _)| *i == id)
        .map(|(_, d)| d)
}

/// Submits a request and returns its grant, if it is made immediately.
pub fn grant(pool: &mut Pool, request: AdmissionRequest, now: Duration) -> Option<Grant> {
    match decide(pool, request, now) {
        Some(Decision::Grant(grant)) => Some(grant),
        _ => None,
    }
}

/// Ends a request with a response after `latency`.
pub fn answer(pool: &mut Pool, number: u64, latency: Duration, now: Duration) {
    pool.end((REQUESTER, number), Outcome::Answered(latency), None, now);
}
