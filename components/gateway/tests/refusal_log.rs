//! Log lines from which a refusal can be traced to its cause. The test has a process of its own,
//! because the logger is set once for each process.

#[allow(dead_code)] // Only a part of the harness is used here.
#[path = "relay/harness.rs"]
mod harness;

use std::sync::{Mutex, PoisonError};

use harness::{ServerAction, TestEntryVm, TestServer, ok_response, shed_response};
use log::{LevelFilter, Log, Metadata, Record};

static LOGGER: CollectingLogger = CollectingLogger(Mutex::new(Vec::new()));

/// Logger that keeps all lines.
struct CollectingLogger(Mutex<Vec<String>>);

impl Log for CollectingLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        println!("{}", record.args());
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// Returns the value of a key in the first line with this event and request id.
fn logged(event: &str, id: &str, key: &str) -> Option<String> {
    let lines = LOGGER.0.lock().unwrap_or_else(PoisonError::into_inner);
    let start = format!("event={event} id={id} ");
    let line = lines.iter().find(|l| l.starts_with(&start))?;
    let prefix = format!("{key}=");
    let value = line.split(' ').find_map(|pair| pair.strip_prefix(&prefix));
    value.map(str::to_owned)
}

/// Guards against a log that shows neither whether a server stated that it has not run a request, nor
/// whether the request had been sent on its connection before, and whether a skipped answer is a copy of an earlier one.
#[test]
fn log_tells_copies_of_refusals_from_refusals() {
    // The order is refused, comes back and runs; the refusal is copied into the connection on which it
    // was sent, when that one carries the next request.
    let server = TestServer::start(|n, id| {
        let mut actions: Vec<ServerAction> = Vec::new();
        match n {
            0 => return shed_response(id),
            2 => actions.extend(shed_response("order")),
            3 => {
                let bare = format!("HTTP/1.1 429 X\r\nX-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                return vec![ServerAction::Send(bare.into_bytes())];
            }
            _ => {}
        }
        actions.extend(ok_response(id, "done"));
        actions
    });
    log::set_logger(&LOGGER).expect("set logger");
    log::set_max_level(LevelFilter::Info);
    let entry_vm = TestEntryVm::start(&[&server]);
    assert_eq!(entry_vm.send("POST", "/order/1", "order").0, 503);
    assert_eq!(entry_vm.send("POST", "/order/1", "order").0, 200);
    // The connection of the second try is the last used one.
    assert_eq!(entry_vm.send("GET", "/read/1", "read").0, 200);

    let refusal = |key: &str| logged("attempt_refused", "order", key);
    assert_eq!(refusal("status").as_deref(), Some("503"));
    assert_eq!(refusal("place").as_deref(), Some("s0"));
    assert_eq!(refusal("earlier_requests").as_deref(), Some("0"));
    assert_eq!(refusal("id_sent_before").as_deref(), Some("false"));
    assert!(refusal("connection").is_some());
    assert!(refusal("connection_age_ms").is_some());
    let passed_over = |key: &str| logged("connections_passed_over", "order", key);
    assert_eq!(passed_over("count").as_deref(), Some("1"));
    assert_eq!(passed_over("taken").as_deref(), Some("none"));
    assert_eq!(passed_over("address"), refusal("address"));
    let foreign = |key: &str| logged("foreign_answer", "read", key);
    assert_eq!(foreign("answer_id").as_deref(), Some("order"));
    assert_eq!(foreign("answer_id_sent_before").as_deref(), Some("true"));
    assert_eq!(foreign("earlier_requests").as_deref(), Some("1"));

    assert_eq!(entry_vm.send("POST", "/order/1", "bare").0, 502);
    let bare = |key: &str| logged("attempt_refused", "bare", key);
    assert_eq!(bare("outcome").as_deref(), Some("error"));
    assert_eq!(bare("status").as_deref(), Some("429"));
}
