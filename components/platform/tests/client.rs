//! Single requests to the platform, and the outcomes of one configuration change.

mod common;

use std::time::Duration;

use common::{client, run_with_platform};
use fastrand::Rng;
use platform::{
    ApplyError, Client, ClientSettings, Error, HEAD_ROW, Precondition, Put, TransactionOutcome,
    VmState, apply, history_row, object_name,
};
use serde_json::json;
use standins::platform::ObjectFault;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

fn put(row: &str, precondition: Precondition, value: u64) -> Put {
    Put {
        row: row.into(),
        precondition,
        value: Some(json!(value)),
    }
}

/// Guards against a write that was sent but is reported as not sent, or the reverse.
#[test]
fn failed_writes_report_whether_they_may_take_effect() {
    run_with_platform(|platform, addr| async move {
        let write = [put("a", Precondition::Absent, 1)];
        let reachable = client(addr, REQUEST_TIMEOUT);
        let error =
            |result: platform::Result<TransactionOutcome>| *result.unwrap_err().current_context();

        let unused_addr = std::net::TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        let unreachable = client(unused_addr, REQUEST_TIMEOUT);
        assert_eq!(error(unreachable.transact(&write).await), Error::NotSent);
        platform.set_faults(|f| f.lose_answers = 1);
        assert_eq!(error(reachable.transact(&write).await), Error::Unknown);
        assert_eq!(reachable.get("a").await.unwrap().value, Some(json!(1)));
        let same_row_twice = [
            put("b", Precondition::Any, 1),
            put("b", Precondition::Any, 2),
        ];
        assert_eq!(
            error(reachable.transact(&same_row_twice).await),
            Error::Refused(400)
        );
        let bad_name = [put("a/../b", Precondition::Any, 1)];
        assert_eq!(
            error(reachable.transact(&bad_name).await),
            Error::InvalidName
        );
        let TransactionOutcome::Conflict(rows) = reachable.transact(&write).await.unwrap() else {
            panic!("the row exists")
        };
        assert_eq!((&*rows[0].name, &rows[0].value), ("a", &Some(json!(1))));
    });
}

/// Guards against sending a write to a second address after it may have taken effect at the first.
#[test]
fn only_unsent_writes_go_to_the_next_address() {
    run_with_platform(|platform, addr| async move {
        let unused_addr = std::net::TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        let addresses = vec![unused_addr, addr, addr];
        let client = Client::new(ClientSettings {
            addresses,
            ..ClientSettings::default()
        });
        let write = [put("a", Precondition::Any, 1)];
        assert!(matches!(
            client.transact(&write).await.unwrap(),
            TransactionOutcome::Committed(_)
        ));
        platform.set_faults(|f| f.lose_requests = 1);
        assert!(client.transact(&write).await.is_err());
        assert_eq!(platform.stats().transactions, 1);
        assert!(client.time_ms().is_some());
    });
}

/// Guards against returning an object whose content is corrupt or truncated.
#[test]
fn objects_are_checked_against_their_hash() {
    run_with_platform(|platform, addr| async move {
        let client = client(addr, REQUEST_TIMEOUT);
        let name = client.put_object(b"content").await.unwrap();
        assert_eq!(client.object(&name).await.unwrap(), b"content");
        for fault in [ObjectFault::Corrupt, ObjectFault::Truncate] {
            platform.set_faults(|f| f.objects = fault);
            let report = client.object(&name).await.unwrap_err();
            assert_eq!(*report.current_context(), Error::CorruptObject, "{fault:?}");
        }
        let report = client.object(&object_name(b"other")).await.unwrap_err();
        assert_eq!(*report.current_context(), Error::ObjectNotFound);
        platform.put_vm("vm-1", standins::platform::VmState::Leaving);
        assert_eq!(client.vms().await.unwrap()[0].state, VmState::Leaving);
    });
}

/// Guards against a history that omits generations or lists them in the wrong order.
#[test]
fn history_holds_every_generation() {
    run_with_platform(|_, addr| async move {
        let client = client(addr, REQUEST_TIMEOUT);
        let mut rng = Rng::with_seed(1);
        for base in 0..12 {
            let bytes = base.to_string();
            let applied = apply(&client, base, bytes.as_bytes(), "anna", &mut rng).await;
            assert_eq!(applied.unwrap(), base + 1);
        }
        let generations = |heads: Vec<platform::Head>| {
            heads
                .into_iter()
                .map(|head| head.generation)
                .collect::<Vec<_>>()
        };
        assert_eq!(generations(client.history(3).await.unwrap()), [10, 11, 12]);
        assert_eq!(client.history(100).await.unwrap().len(), 12);
        let old = client.history_entry(4).await.unwrap().unwrap();
        assert_eq!(
            (old.parent, client.object(&old.object).await.unwrap()),
            (3, b"3".to_vec())
        );
    });
}

/// Guards against reporting an accepted change as rejected when the response was lost.
#[test]
fn lost_answers_are_resolved_by_reading_back() {
    run_with_platform(|platform, addr| async move {
        let client = client(addr, REQUEST_TIMEOUT);
        let mut rng = Rng::with_seed(2);
        // The first lost response is to the object write, the second one to the transaction.
        platform.set_faults(|f| f.lose_answers = 2);
        assert_eq!(apply(&client, 0, b"a", "anna", &mut rng).await.unwrap(), 1);
        assert_eq!(platform.stats().lost_answers, 2);
        platform.set_faults(|f| f.lose_requests = 2);
        assert_eq!(apply(&client, 1, b"b", "anna", &mut rng).await.unwrap(), 2);
        assert_eq!(platform.rows("config/history/").len(), 2);
    });
}

/// Guards against conflict errors that do not name the accepted change, and against accepting a
/// change on a base that is not in force.
#[test]
fn conflicts_name_the_accepted_change() {
    run_with_platform(|_, addr| async move {
        let client = client(addr, REQUEST_TIMEOUT);
        let mut rng = Rng::with_seed(3);
        apply(&client, 0, b"a", "anna", &mut rng).await.unwrap();
        let report = apply(&client, 0, b"b", "bert", &mut rng).await.unwrap_err();
        let ApplyError::Conflict(accepted) = report.current_context() else {
            panic!("unexpected {report:?}")
        };
        assert_eq!((accepted.generation, &*accepted.author), (1, "anna"));
        assert!(accepted.time_ms > 0);
        let report = apply(&client, 7, b"b", "bert", &mut rng).await.unwrap_err();
        assert_eq!(*report.current_context(), ApplyError::UnknownBase(1));
    });
}

/// Guards against a wrong report about the change when the platform is unreachable: "not applied"
/// is correct only if the transaction cannot have been received.
#[test]
fn unreachable_platform_reports_whether_change_may_take_effect() {
    run_with_platform(|platform, addr| async move {
        let client = client(addr, REQUEST_TIMEOUT);
        let mut rng = Rng::with_seed(4);
        platform.set_faults(|f| f.down = true);
        let report = apply(&client, 0, b"a", "anna", &mut rng).await.unwrap_err();
        assert_eq!(*report.current_context(), ApplyError::NotApplied);
        platform.set_faults(|f| {
            (f.down, f.lose_only_transactions, f.lose_requests) = (false, true, 100);
        });
        let report = apply(&client, 0, b"a", "anna", &mut rng).await.unwrap_err();
        let unknown = matches!(
            report.current_context(),
            ApplyError::Unknown { generation: 1, .. }
        );
        assert!(unknown, "unexpected {report:?}");
        assert!(platform.rows(HEAD_ROW).is_empty() && platform.rows(&history_row(1)).is_empty());
    });
}
