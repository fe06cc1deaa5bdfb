//! Rows merged from sources that answer in any order.

use std::collections::BTreeMap;

use proptest::prelude::*;
use replica::{Outdated, Replica, Row, Rows, Table};

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
    }
}

/// Guards against a row that goes back because a slower source answers later.
#[test]
fn an_older_row_changes_nothing() {
    let mut table = Table::default();
    table.list(rows(&[row("a", Some("1"), 1)], 1)).unwrap();
    assert_eq!(
        table.merge(rows(&[row("a", Some("3"), 3)], 3)),
        [row("a", Some("3"), 3)]
    );
    assert!(table.merge(rows(&[row("a", Some("2"), 2)], 2)).is_empty());
    assert_eq!(table.position(), Some(3));
    assert_eq!(table.all().rows, [row("a", Some("3"), 3)]);
}

/// Guards against a removed row that comes back through a source that has not heard of it.
#[test]
fn a_removed_row_stays_removed() {
    let mut table = Table::default();
    table.list(rows(&[row("a", Some("1"), 1)], 1)).unwrap();
    table.merge(rows(&[row("a", None, 4)], 4));
    table.merge(rows(&[row("a", Some("1"), 1)], 1));
    assert!(table.all().rows.is_empty());
    assert_eq!(table.after(1).unwrap().rows, [row("a", None, 4)]);
}

/// Guards against rows that stay after they were removed while the history was lost, and against a
/// list that is older than what is known.
#[test]
fn a_list_removes_what_it_lacks() {
    let mut table = Table::default();
    let both = [row("a", Some("1"), 1), row("b", Some("2"), 2)];
    table.list(rows(&both, 2)).unwrap();
    assert_eq!(table.list(rows(&both[..1], 1)), Err(Outdated));
    let changed = table.list(rows(&both[..1], 5)).unwrap();
    assert_eq!(changed, [row("b", None, 5)]);
}

/// Guards against changes that are passed over in silence when they are no longer remembered.
#[test]
fn forgotten_changes_are_not_left_out() {
    let mut table = Table::default();
    assert!(table.position().is_none());
    table.list(rows(&[], 10)).unwrap();
    assert_eq!(table.after(9), Err(Outdated));
    for i in 11..2000 {
        table.merge(rows(&[row(&format!("{i}"), Some("x"), i)], i));
        table.merge(rows(&[row(&format!("{i}"), None, i)], i));
    }
    let removals: Vec<Row> = (2000..4000)
        .map(|i| row(&format!("{}", i - 1989), None, i))
        .collect();
    table.merge(rows(&removals, 4000));
    assert_eq!(table.after(10), Err(Outdated));
    assert!(table.after(3999).is_ok());
}

/// Guards against followers that wait although something has changed.
#[test]
fn waiting_followers_are_woken() {
    let replica = Replica::default();
    let changed = replica.changed();
    assert!(!changed.is_closed());
    replica.list("t", rows(&[], 1)).unwrap();
    assert!(changed.is_closed());
    let changed = replica.changed();
    replica.set_first_hand("t", true);
    assert!(changed.is_closed() && replica.first_hand("t"));
}

proptest! {
    /// Guards against followers that end with other rows than the store, whatever the order in
    /// which they read from each other, and how far each source was behind.
    #[test]
    fn all_followers_end_with_the_rows_of_the_store(
        writes in proptest::collection::vec((0u8..6, proptest::option::of(0u8..4)), 1..60),
        reads in proptest::collection::vec((0usize..3, 0usize..4, any::<bool>()), 1..120),
    ) {
        let mut store = Table::default();
        store.list(Rows::default()).unwrap();
        let mut followers = vec![Table::default(); 3];
        let mut writes = writes.into_iter().zip(1u64..);
        let read = |followers: &mut Vec<Table>, store: &Table, to: usize, from: usize, whole: bool| {
            let source = if from == 3 { store.clone() } else { followers[from].clone() };
            if from == to || source.position().is_none() {
                return;
            }
            let target = &mut followers[to];
            match target.position().map(|p| source.after(p)) {
                Some(Ok(changes)) if !whole => {
                    target.merge(changes);
                }
                // A list that is too old is refused; the next read makes up for it.
                _ => {
                    let _ = target.list(source.all());
                }
            }
        };
        for (to, from, whole) in reads {
            if let Some(((key, value), version)) = writes.next() {
                let value = value.map(|v| v.to_string());
                let row = row(&key.to_string(), value.as_deref(), version);
                store.merge(rows(&[row], version));
            }
            read(&mut followers, &store, to, from, whole);
        }
        for to in 0..3 {
            read(&mut followers, &store, to, 3, false);
            let present = |t: &Table| -> BTreeMap<Box<str>, Option<Vec<u8>>> {
                t.all().rows.into_iter().map(|r| (r.key, r.value)).collect()
            };
            prop_assert_eq!(present(&followers[to]), present(&store));
        }
    }
}
