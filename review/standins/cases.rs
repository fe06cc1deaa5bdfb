//! The cases: what clients send, the disruption, and the check of the rule.

use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Attempt};
use crate::deployment::{Deployment, MEMORY_MB, Route, configuration, server_row};
use crate::record::Record;

pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

pub fn run(case: &str, trouble: bool, record: &Record) -> Verdict {
    match case {
        "pipelined-stop" => pipelined_stop(trouble, record),
        "streamed-stop" => streamed_stop(trouble, record),
        "upload-burst" => upload_burst(trouble, record),
        "silent-store" => silent_store(trouble, record),
        "late-heartbeat" => late_heartbeat(trouble, record),
        _ => Verdict::NotRun,
    }
}

/// Checks LOST around a SIGTERM: returns the number of requests at which a server was at work, and
/// whose connection ended without a complete answer before the deadline.
fn count_lost(deployment: &Deployment, attempts: &[Attempt]) -> usize {
    let runs = deployment.runs.lock().unwrap();
    let mut lost = 0;
    for attempt in attempts {
        let cut = runs
            .get(&attempt.id)
            .is_some_and(|runs| runs.iter().all(|r| !r.answered));
        let in_time = attempt.ended_at - attempt.sent_at < attempt.deadline_s - 0.1;
        if attempt.status.is_none() && cut && in_time {
            lost += 1;
            let run = &runs[&attempt.id][0];
            deployment.record.line(&format!(
                "LOST id={} server={} began_at={:.3} connection_ended_at={:.3}",
                attempt.id, run.server, run.started_at, attempt.ended_at
            ));
        }
    }
    lost
}

fn verdict(record: &Record, lost: usize, sent: usize) -> Verdict {
    record.line(&format!("sent={sent} lost={lost}"));
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Rounds of one stop for each entry VM.
const ROUNDS: usize = 2;

/// Clients send three idempotent requests each on one connection; the entry VM that they use gets
/// SIGTERM while the servers work on them.
fn pipelined_stop(trouble: bool, record: &Record) -> Verdict {
    const CLIENTS: usize = 3;
    const WORK_MS: [u64; 3] = [500, 900, 1300];
    const DEADLINE_S: f64 = 5.0;
    let mut deployment = Deployment::start(&[("archive", "archive", "idempotent", 3.0)], record);
    let mut attempts = Vec::new();
    for stop in 0..ROUNDS * 2 {
        let index = stop % 2;
        let address = deployment.look_up(deployment.gateways[index].zone);
        let clients: Vec<_> = (0..CLIENTS)
            .map(|c| {
                let requests: Vec<(String, String)> = WORK_MS
                    .iter()
                    .enumerate()
                    .map(|(i, work)| {
                        (
                            format!("s{stop}c{c}r{i}"),
                            format!("/archive/{c}{i}?work={work}&bytes=1500&first=1500"),
                        )
                    })
                    .collect();
                let record = record.clone();
                thread::spawn(move || client::pipeline(address, &requests, DEADLINE_S, &record))
            })
            .collect();
        thread::sleep(Duration::from_millis(250));
        if trouble {
            deployment.gateways[index].terminate(record);
        }
        for client in clients {
            attempts.extend(client.join().expect("client"));
        }
        if trouble {
            deployment.gateways[index].wait_for_exit(record);
            deployment.gateways[index].restart(record);
            thread::sleep(Duration::from_millis(1500));
        }
    }
    let lost = count_lost(&deployment, &attempts);
    verdict(record, lost, attempts.len())
}

/// A client reads a long answer, which the server sends over 4.4 s; the entry VM gets SIGTERM just
/// after the answer has begun.
fn streamed_stop(trouble: bool, record: &Record) -> Verdict {
    const DEADLINE_S: f64 = 8.0;
    let mut deployment = Deployment::start(&[("sheets", "sheets", "idempotent", 8.0)], record);
    let mut attempts = Vec::new();
    for stop in 0..ROUNDS * 2 {
        let index = stop % 2;
        let address = deployment.look_up(deployment.gateways[index].zone);
        let request = (
            format!("s{stop}"),
            "/sheets/1?work=100&bytes=900000&first=300000&over=4400".to_owned(),
        );
        let client_record = record.clone();
        let client = thread::spawn(move || {
            client::pipeline(address, &[request], DEADLINE_S, &client_record)
        });
        thread::sleep(Duration::from_millis(300));
        if trouble {
            deployment.gateways[index].terminate(record);
            deployment.gateways[index].wait_for_exit(record);
        }
        attempts.extend(client.join().expect("client"));
        if trouble {
            deployment.gateways[index].restart(record);
            thread::sleep(Duration::from_millis(1500));
        }
    }
    let lost = count_lost(&deployment, &attempts);
    verdict(record, lost, attempts.len())
}

/// Clients upload long bodies at once, 1.7 times as many as usual; the platform kills a process that
/// exceeds its memory and starts it again.
fn upload_burst(trouble: bool, record: &Record) -> Verdict {
    const USUAL: usize = 6;
    const BURST: f64 = 1.7;
    const BODY_BYTES: usize = 30_000_000;
    const BYTES_PER_S: f64 = 12_000_000.0;
    const WAVES: usize = 3;
    const DEADLINE_S: f64 = 10.0;
    let mut deployment = Deployment::start(&[("scores", "scores", "non_idempotent", 10.0)], record);
    let count = if trouble {
        (USUAL as f64 * BURST) as usize
    } else {
        USUAL
    };
    let mut ends = vec![0; deployment.gateways.len()];
    for wave in 0..WAVES {
        for index in 0..deployment.gateways.len() {
            let address = deployment.look_up(deployment.gateways[index].zone);
            let clients: Vec<_> = (0..count)
                .map(|c| {
                    let (id, record) = (format!("w{wave}g{index}c{c}"), record.clone());
                    thread::spawn(move || {
                        client::upload(
                            address,
                            "/scores/1?work=200",
                            &id,
                            BODY_BYTES,
                            BYTES_PER_S,
                            DEADLINE_S,
                            &record,
                        )
                    })
                })
                .collect();
            let gateway = &mut deployment.gateways[index];
            let mut peak = 0;
            let end = Instant::now() + Duration::from_secs(5);
            let mut over = false;
            while Instant::now() < end && !clients.iter().all(thread::JoinHandle::is_finished) {
                let used = gateway.memory_mb().unwrap_or(0);
                peak = peak.max(used);
                if used > MEMORY_MB {
                    record.line(&format!(
                        "memory of {} is {used} MB: killed by the platform",
                        gateway.name()
                    ));
                    gateway.kill();
                    over = true;
                    break;
                }
                thread::sleep(Duration::from_millis(5));
            }
            let answers: Vec<Attempt> = clients
                .into_iter()
                .map(|c| c.join().expect("client"))
                .collect();
            let answered = answers.iter().filter(|a| a.status.is_some()).count();
            record.line(&format!(
                "wave={wave} {} uploads={count} answered={answered} peak_mb={peak}",
                gateway.name()
            ));
            if over {
                ends[index] += 1;
                gateway.restart(record);
                thread::sleep(Duration::from_millis(1500));
            }
        }
    }
    record.line(&format!(
        "ends over the memory limit, by entry VM: {ends:?}"
    ));
    // Three ends in the day on two entry VMs or more.
    if ends.iter().filter(|n| **n >= 3).count() >= 2 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// A server leaves without reporting that it drains: its entry is removed, and it goes on serving for
/// `drain-s` and some seconds. One of its earlier heartbeats got no answer from the store and is performed
/// after the removal. Clients place orders all the time.
fn late_heartbeat(trouble: bool, record: &Record) -> Verdict {
    const BEAT_S: f64 = 1.5;
    /// Silent heartbeats after which the platform removes an entry.
    const EXPIRY_BEATS: f64 = 3.0;
    const BEATS: [f64; 6] = [1.2, 2.7, 4.2, 5.7, 7.2, 8.7];
    const LOST_AT_S: f64 = 4.2;
    const PERFORMED_AT_S: f64 = 9.9;
    const REMOVED_AT_S: f64 = 8.8;
    const DRAIN_S: f64 = 2.5;
    const EXIT_AT_S: f64 = REMOVED_AT_S + DRAIN_S + 2.0;
    const DEADLINE_S: f64 = 1.5;
    const INTERVAL: Duration = Duration::from_millis(34);
    let deployment = Deployment::start(&[("orders", "orders", "non_idempotent", 1.5)], record);
    let start = record.now();
    let wait_until = |at: f64| {
        thread::sleep(Duration::from_secs_f64(
            (start + at - record.now()).max(0.0),
        ))
    };
    let traffic_end = start + PERFORMED_AT_S + EXPIRY_BEATS * BEAT_S + 1.0;
    let address = deployment.look_up(deployment.gateways[0].zone);
    let clients_record = record.clone();
    let clients = thread::spawn(move || {
        let mut clients = Vec::new();
        while clients_record.now() < traffic_end {
            let (id, record) = (format!("o{}", clients.len()), clients_record.clone());
            clients.push(thread::spawn(move || {
                client::upload(
                    address,
                    "/orders/1?work=270&bytes=400&first=400",
                    &id,
                    300,
                    1e9,
                    DEADLINE_S,
                    &record,
                )
            }));
            thread::sleep(INTERVAL);
        }
        clients
            .into_iter()
            .map(|c| c.join().expect("client"))
            .collect::<Vec<Attempt>>()
    });
    let (server, service, zone) = &deployment.servers[0];
    let beat = |sequence: u64, how: &str| {
        deployment.store.beat(
            &server.id,
            &server_row(server, service, zone, "ready", sequence),
        );
        record.line(&format!(
            "heartbeat server={} state=ready sequence={sequence} {how}",
            server.id
        ));
    };
    let mut lost = None;
    for (sequence, at) in (2..).zip(BEATS) {
        wait_until(at);
        if trouble && at == LOST_AT_S {
            lost = Some(sequence);
            record.line(&format!(
                "heartbeat server={} sequence={sequence} no answer from the store",
                server.id
            ));
        } else {
            beat(sequence, "acknowledged");
        }
    }
    wait_until(REMOVED_AT_S);
    deployment.store.remove_server(&server.id);
    let removed_at = record.now();
    record.line(&format!("entry_removed server={}", server.id));
    wait_until(PERFORMED_AT_S);
    if let Some(sequence) = lost {
        beat(sequence, "performed late");
    }
    wait_until(EXIT_AT_S);
    server.exit();
    wait_until(PERFORMED_AT_S + EXPIRY_BEATS * BEAT_S);
    deployment.store.remove_server(&server.id);
    let attempts = clients.join().expect("clients");
    let runs = deployment.runs.lock().unwrap();
    let mut late = 0;
    for (id, runs) in runs.iter() {
        for run in runs.iter().filter(|r| r.server == server.id) {
            let after = run.started_at - removed_at;
            if after > DRAIN_S {
                late += 1;
                let status = attempts.iter().find(|a| a.id == *id).and_then(|a| a.status);
                let how = if run.answered {
                    "answered"
                } else {
                    "cut by the server's exit"
                };
                record.line(&format!("DRAIN id={id} ran {after:.3} s after the removal, {how}; the client got {status:?}"));
            }
        }
    }
    record.line(&format!(
        "sent={} later_than_drain_s={late}",
        attempts.len()
    ));
    if late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// The store is silent for 4.5 s while configurations come in quick succession. After it has been stable
/// for `stability-window-s`, the operator moves a route to another service.
fn silent_store(trouble: bool, record: &Record) -> Verdict {
    const STORM: u64 = 6;
    const GAP: Duration = Duration::from_millis(330);
    const OUTAGE: Duration = Duration::from_millis(4500);
    const STABILITY: Duration = Duration::from_millis(4200);
    const APPLY_S: f64 = 2.5;
    const OBSERVED_S: f64 = 16.0;
    const DEADLINE_S: f64 = 1.5;
    let old: [Route; 2] = [
        ("orders", "desk-a", "non_idempotent", 1.5),
        ("other", "desk-b", "non_idempotent", 1.5),
    ];
    let new: [Route; 2] = [
        ("orders", "desk-b", "non_idempotent", 1.5),
        ("other", "desk-a", "non_idempotent", 1.5),
    ];
    let deployment = Deployment::start(&old, record);
    let addresses: Vec<_> = deployment
        .gateways
        .iter()
        .map(|g| deployment.look_up(g.zone))
        .collect();
    for version in 8..8 + STORM {
        let changed = old.map(|(prefix, service, kind, timeout)| {
            (prefix, service, kind, timeout + version as f64 / 100.0)
        });
        deployment
            .store
            .put("op", "config", &configuration(version, &changed));
        record.line(&format!(
            "configuration r{version} (time-outs) acknowledged"
        ));
        if version + 1 < 8 + STORM {
            thread::sleep(GAP);
        }
    }
    thread::sleep(GAP);
    if trouble {
        deployment.store.silence(OUTAGE);
        record.line("the store is silent for 4.5 s");
    }
    thread::sleep(OUTAGE);
    record.line("the store answers");
    thread::sleep(STABILITY);
    deployment
        .store
        .put("op", "config", &configuration(20, &new));
    let acknowledged_at = record.now();
    record.line("configuration r20 (orders move from desk-a to desk-b) acknowledged");
    let mut clients = Vec::new();
    while record.now() < acknowledged_at + OBSERVED_S {
        for address in addresses.clone() {
            let (id, record) = (format!("o{}", clients.len()), record.clone());
            clients.push(thread::spawn(move || {
                client::upload(
                    address,
                    "/orders/1?work=20&bytes=400&first=400",
                    &id,
                    300,
                    1e9,
                    DEADLINE_S,
                    &record,
                )
            }));
        }
        thread::sleep(Duration::from_millis(200));
    }
    let attempts: Vec<Attempt> = clients
        .into_iter()
        .map(|c| c.join().expect("client"))
        .collect();
    let runs = deployment.runs.lock().unwrap();
    let mut stale = 0;
    for attempt in &attempts {
        let after = attempt.sent_at - acknowledged_at;
        let by_old = runs
            .get(&attempt.id)
            .and_then(|runs| runs.iter().find(|r| r.server.starts_with("desk-a")));
        if let Some(run) = by_old.filter(|_| after > APPLY_S) {
            stale += 1;
            record.line(&format!(
                "CONFIG id={} sent {after:.3} s after the acknowledgement, run by {} of the old service; the client got {:?}",
                attempt.id, run.server, attempt.status
            ));
        }
    }
    record.line(&format!(
        "sent={} handled_by_old_configuration={stale}",
        attempts.len()
    ));
    if stale > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
