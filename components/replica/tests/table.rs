//! Merging of rows from sources that answer in any order.

use std::collections::BTreeMap;

use proptest::prelude::*;
use replica::{Replica, Row, Rows, Table, VersionTooOld};

fn row(key: &str, value: Option<&str>, version: u64) -> Row {
    Row {
        key: key.into(),
        value: value.map(Into::into),
        version,
    }
}

fn rows(rows: &[Row], version: u64) -> Rows {
    Rows {
        rows: rows.to_vec(),
        version,
        ..Rows::default()
    }
}

/// Guards against a row reverting to an older version when a slower source answers later.
#[test]
fn older_row_is_ignored() {
    let mut table = Table::default();
    table
        .apply_snapshot(rows(&[row("a", Some("1"), 1)], 1))
        .unwrap();
    assert_eq!(
        table.apply_changes(rows(&[row("a", Some("3"), 3)], 3)),
        Ok(vec![row("a", Some("3"), 3)])
    );
    let older = table.apply_changes(rows(&[row("a", Some("2"), 2)], 2));
    assert_eq!(older, Ok(vec![]));
    assert_eq!(table.position().map(|p| p.version), Some(3));
    assert_eq!(table.snapshot().rows, [row("a", Some("3"), 3)]);
}

/// Guards against a removed row being restored by a source that has not yet seen the removal.
#[test]
fn removed_row_stays_removed() {
    let mut table = Table::default();
    table
        .apply_snapshot(rows(&[row("a", Some("1"), 1)], 1))
        .unwrap();
    for change in [row("a", None, 4), row("a", Some("1"), 1)] {
        let version = change.version;
        table.apply_changes(rows(&[change], version)).unwrap();
    }
    assert!(table.snapshot().rows.is_empty());
    assert_eq!(table.changes_after(1).unwrap().rows, [row("a", None, 4)]);
}

/// Guards against keeping rows whose removal fell into lost history, and against applying a
/// snapshot that is older than the replica.
#[test]
fn snapshot_removes_missing_rows() {
    let mut table = Table::default();
    let both = [row("a", Some("1"), 1), row("b", Some("2"), 2)];
    table.apply_snapshot(rows(&both, 2)).unwrap();
    assert_eq!(
        table.apply_snapshot(rows(&both[..1], 1)),
        Err(VersionTooOld)
    );
    let changed = table.apply_snapshot(rows(&both[..1], 5)).unwrap();
    assert_eq!(changed, [row("b", None, 5)]);
}

/// Guards against an incomplete list of changes when older tombstones were already dropped.
#[test]
fn changes_before_history_are_rejected() {
    let mut table = Table::default();
    assert!(table.position().is_none());
    table.apply_snapshot(rows(&[], 10)).unwrap();
    assert_eq!(table.changes_after(9), Err(VersionTooOld));
    for i in 11..2000 {
        for value in [Some("x"), None] {
            let change = row(&format!("{i}"), value, i);
            table.apply_changes(rows(&[change], i)).unwrap();
        }
    }
    let removals: Vec<Row> = (2000..4000)
        .map(|i| row(&format!("{}", i - 1989), None, i))
        .collect();
    table.apply_changes(rows(&removals, 4000)).unwrap();
    assert_eq!(table.changes_after(10), Err(VersionTooOld));
    assert!(table.changes_after(3999).is_ok());
}

/// Guards against followers that keep waiting after a change.
#[test]
fn change_wakes_waiting_followers() {
    let replica = Replica::default();
    let changed = replica.changed();
    assert!(!changed.is_closed());
    replica.apply_snapshot("t", rows(&[], 1)).unwrap();
    assert!(changed.is_closed());
    let changed = replica.changed();
    replica.set_follows_store("t", true);
    assert!(changed.is_closed() && replica.follows_store("t"));
}

proptest! {
    /// Guards against followers that do not converge to the rows of the store, whatever the order
    /// in which they read from each other and however far each source lags behind.
    #[test]
    fn followers_converge_to_store(
        writes in proptest::collection::vec((0u8..6, proptest::option::of(0u8..4)), 1..60),
        reads in proptest::collection::vec((0usize..3, 0usize..4, any::<bool>()), 1..120),
    ) {
        let mut store = Table::default();
        store.apply_snapshot(Rows::default()).unwrap();
        let mut followers = vec![Table::default(); 3];
        let mut writes = writes.into_iter().zip(1u64..);
        let read = |followers: &mut Vec<Table>, store: &Table, to: usize, from: usize, full: bool| {
            let source = if from == 3 { store.clone() } else { followers[from].clone() };
            if from == to || source.position().is_none() {
                return;
            }
            let target = &mut followers[to];
            match target.position().map(|p| source.changes_after(p.version)) {
                Some(Ok(changes)) if !full => {
                    target.apply_changes(changes).unwrap();
                }
                // A snapshot that is too old is rejected; the next read catches up.
                _ => {
                    let _ = target.apply_snapshot(source.snapshot());
                }
            }
        };
        for (to, from, full) in reads {
            if let Some(((key, value), version)) = writes.next() {
                let value = value.map(|v| v.to_string());
                let row = row(&key.to_string(), value.as_deref(), version);
                store.apply_changes(rows(&[row], version)).unwrap();
            }
            read(&mut followers, &store, to, from, full);
        }
        for to in 0..3 {
            read(&mut followers, &store, to, 3, false);
            let present = |t: &Table| -> BTreeMap<Box<str>, Option<Vec<u8>>> {
                t.snapshot().rows.into_iter().map(|r| (r.key, r.value)).collect()
            };
            prop_assert_eq!(present(&followers[to]), present(&store));
        }
    }
}
