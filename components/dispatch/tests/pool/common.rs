//! Pools, servers and asks for tests.

use std::time::Duration;

use smallvec::SmallVec;

use dispatch::{Ask, Decision, Grant, Outcome, Pool, PoolSettings, Server};

/// Incarnation of the entry VM that asks.
pub const ASKER: u64 = 7;

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
        born: 1,
    }
}

pub fn ask(number: u64) -> Ask {
    Ask {
        id: (ASKER, number),
        service: "orders".into(),
        domain: "north".into(),
        target_left: ms(300),
        deadline_left: ms(1500),
        waited: Duration::ZERO,
        rank: 1,
        repeat: false,
        spare: false,
        stopgap: false,
        object: None,
        avoid: SmallVec::new(),
        regions: SmallVec::new(),
    }
}

pub fn pool(servers: &[Server], cfg: PoolSettings) -> Pool {
    let mut pool = Pool::new(cfg);
    for server in servers {
        pool.put_server(server.clone(), Duration::ZERO);
    }
    pool
}

/// Asks and returns the decision, if there is one at once.
pub fn decide(pool: &mut Pool, ask: Ask, now: Duration) -> Option<Decision> {
    let id = ask.id;
    pool.ask(ask, now);
    let decisions = pool.schedule(now);
    decisions
        .into_iter()
        .find(|(i, _)| *i == id)
        .map(|(_, d)| d)
}

/// Asks and returns the grant, if there is one at once.
pub fn grant(pool: &mut Pool, ask: Ask, now: Duration) -> Option<Grant> {
    match decide(pool, ask, now) {
        Some(Decision::Grant(grant)) => Some(grant),
        _ => None,
    }
}

/// Ends a request with an answer after `latency`.
pub fn answer(pool: &mut Pool, number: u64, latency: Duration, now: Duration) {
    pool.end((ASKER, number), Outcome::Answered(latency), None, now);
}
