//! A store that comes back from an older copy: versions of two eras are never compared.

use std::collections::BTreeMap;

use proptest::prelude::*;
use replica::{Kept, OtherEra, Row, Rows, Table, VersionTooOld};

fn row(key: &str, value: Option<&str>, version: u64) -> Row {
    Row {
        key: key.into(),
        value: value.map(Into::into),
        version,
    }
}

fn rows(era: u64, rows: &[Row], version: u64) -> Rows {
    Rows {
        era: Some(era),
        rows: rows.to_vec(),
        version,
    }
}

/// Returns a table of era 1 with these rows.
fn table(present: &[Row], version: u64) -> Table {
    let mut table = Table::default();
    table.apply_snapshot(rows(1, present, version)).unwrap();
    table
}

/// Guards against rows of a restored store that are ignored because their versions are lower.
#[test]
fn snapshot_of_a_later_era_replaces_the_rows() {
    let mut table = table(&[row("a", Some("ready"), 50)], 60);
    let restored = rows(2, &[row("a", Some("draining"), 22)], 25);
    let changed = table.apply_snapshot(restored.clone()).unwrap();
    assert_eq!(changed, [row("a", Some("draining"), 22)]);
    assert_eq!(table.position(), Some(restored.position()));
    assert_eq!(table.last_change().version, 22);
    let removal = rows(2, &[row("a", None, 26)], 26);
    assert_eq!(table.apply_changes(removal), Ok(vec![row("a", None, 26)]));
}

/// Guards against an entry VM that has followed the store to a later era and is taken back by one that
/// has not, or by a late answer.
#[test]
fn rows_of_an_earlier_era_are_rejected() {
    let mut table = table(&[], 60);
    table.apply_snapshot(rows(2, &[], 25)).unwrap();
    let old = [row("a", Some("ready"), 90)];
    assert_eq!(table.apply_snapshot(rows(1, &old, 90)), Err(VersionTooOld));
    assert_eq!(table.apply_changes(rows(1, &old, 90)), Err(OtherEra));
    let unstated = Rows {
        era: None,
        ..rows(1, &old, 90)
    };
    assert_eq!(table.apply_snapshot(unstated.clone()), Err(VersionTooOld));
    assert_eq!(table.apply_changes(unstated), Err(OtherEra));
    assert!(table.snapshot().rows.is_empty());
}

/// Guards against changes of a later era that are applied to the rows of an earlier one.
#[test]
fn changes_of_a_later_era_need_a_snapshot() {
    let mut table = table(&[row("a", Some("ready"), 5)], 60);
    let change = rows(2, &[row("b", Some("ready"), 61)], 61);
    assert_eq!(table.apply_changes(change), Err(OtherEra));
    assert_eq!(table.snapshot().rows, [row("a", Some("ready"), 5)]);
}

/// Guards against use of a server whose leaving was seen, because the copy lists it as ready.
#[test]
fn superseded_rows_of_the_copy_do_not_come_into_force() {
    let copy = [
        row("draining", Some("ready"), 1),
        row("left", Some("ready"), 2),
        row("same", Some("ready"), 3),
    ];
    let mut table = table(&copy, 20);
    let leaving = [row("draining", Some("draining"), 30), row("left", None, 31)];
    table.apply_changes(rows(1, &leaving, 31)).unwrap();
    for era in [2, 3] {
        let restored = rows(era, &copy, 20);
        assert_eq!(table.apply_snapshot(restored), Ok(vec![]), "era {era}");
        assert_eq!(table.kept_count(Kept::Superseded), 2);
    }
    // Other entry VMs get what the store has.
    assert_eq!(table.snapshot().rows, copy);
    let repeated = rows(3, &[row("draining", Some("draining"), 21)], 21);
    assert_eq!(table.apply_changes(repeated), Ok(vec![]));
    let alive = rows(3, &[row("left", Some("ready again"), 22)], 22);
    assert_eq!(
        table.apply_changes(alive),
        Ok(vec![row("left", Some("ready again"), 22)])
    );
    assert_eq!(table.kept_count(Kept::Superseded), 0);
}

/// Guards against a store that is ignored for good where a write is never repeated.
#[test]
fn released_rows_are_those_of_the_store() {
    let copy = [row("left", Some("ready"), 2)];
    let mut table = table(&copy, 20);
    let later = [row("left", None, 30), row("new", Some("ready"), 31)];
    table.apply_changes(rows(1, &later, 31)).unwrap();
    table.apply_snapshot(rows(2, &copy, 20)).unwrap();
    assert_eq!(table.release(Kept::Missing), [row("new", None, 0)]);
    assert_eq!(table.release(Kept::Superseded), copy);
    assert!(table.release(Kept::Superseded).is_empty());
}

/// Guards against the loss of a server that registered after the copy was made.
#[test]
fn rows_missing_from_the_copy_stay_until_they_are_written_again() {
    let mut table = table(&[], 20);
    let new = [
        row("a", Some("1"), 30),
        row("b", Some("1"), 31),
        row("c", Some("1"), 32),
    ];
    table.apply_changes(rows(1, &new, 32)).unwrap();
    assert_eq!(table.apply_snapshot(rows(2, &[], 20)), Ok(vec![]));
    assert_eq!(table.kept_count(Kept::Missing), 3);
    let again = [
        row("a", Some("1"), 21),
        row("b", Some("2"), 22),
        row("c", None, 23),
    ];
    assert_eq!(
        table.apply_changes(rows(2, &again, 23)),
        Ok(again[1..].to_vec())
    );
    assert!(table.release(Kept::Missing).is_empty());
}

/// Guards against requests to a server that left, by an entry VM that did not see it leave, and against
/// kept rows that replace what was written again.
#[test]
fn kept_rows_are_adopted_unless_they_were_written_again() {
    let copy = [row("left", Some("ready"), 2), row("back", Some("ready"), 3)];
    let mut other = table(&copy, 20);
    let later = [
        row("left", None, 30),
        row("back", None, 31),
        row("new", Some("ready"), 32),
    ];
    other.apply_changes(rows(1, &later, 32)).unwrap();
    other.apply_snapshot(rows(2, &copy, 20)).unwrap();

    let mut started = Table::default();
    started.apply_snapshot(rows(2, &copy, 20)).unwrap();
    let back = rows(2, &[row("back", Some("ready again"), 21)], 21);
    started.apply_changes(back).unwrap();
    let left = [row("left", None, 20)];
    assert_eq!(started.adopt_kept(other.kept(), false), left);
    let new = [row("new", Some("ready"), 20)];
    assert_eq!(started.adopt_kept(other.kept(), true), new);
    assert!(started.adopt_kept(other.kept(), true).is_empty());
    assert_eq!(started.release(Kept::Missing), [row("new", None, 0)]);

    let mut behind = table(&copy, 20);
    assert!(
        behind.adopt_kept(other.kept(), true).is_empty(),
        "of another era"
    );
}

/// A step of a history: a write, a copy, a restoration, or a read by a follower from another one.
#[derive(Clone, Debug)]
enum Step {
    Write(u8, Option<u8>),
    Copy,
    Restore,
    Read { to: usize, from: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0u8..5, proptest::option::of(0u8..4)).prop_map(|(k, v)| Step::Write(k, v)),
        1 => Just(Step::Copy),
        1 => Just(Step::Restore),
        5 => (0usize..3, 0usize..4).prop_map(|(to, from)| Step::Read { to, from }),
    ]
}

fn values(table: &Table) -> BTreeMap<Box<str>, Option<Vec<u8>>> {
    let rows = table.snapshot().rows.into_iter();
    rows.map(|r| (r.key, r.value)).collect()
}

proptest! {
    /// Guards against followers that do not converge to the store after restorations, or whose handlers
    /// were told something else, whatever they read from each other before.
    #[test]
    fn followers_converge_after_restorations(
        steps in proptest::collection::vec(step(), 1..150),
    ) {
        let mut era = 1;
        let mut store = table(&[], 0);
        let mut copy = store.snapshot();
        let mut followers = vec![Table::default(); 3];
        let mut told: Vec<BTreeMap<Box<str>, Vec<u8>>> = vec![BTreeMap::new(); 3];
        let tell = |told: &mut BTreeMap<Box<str>, Vec<u8>>, changed: Vec<Row>| {
            for row in changed {
                match row.value {
                    Some(value) => told.insert(row.key, value),
                    None => told.remove(&row.key),
                };
            }
        };
        let apply = |followers: &mut Vec<Table>, told: &mut Vec<_>, to: usize, source: Table| {
            let target = &mut followers[to];
            let Some(theirs) = source.position() else { return };
            let own = target.position().filter(|p| p.era == theirs.era);
            let changed = match own.map(|p| source.changes_after(p.version)) {
                Some(Ok(changes)) => target.apply_changes(changes).unwrap(),
                _ => target.apply_snapshot(source.snapshot()).unwrap_or_default(),
            };
            tell(&mut told[to], changed);
        };
        for step in steps {
            match step {
                Step::Write(key, value) => {
                    let version = store.position().unwrap().version + 1;
                    let value = value.map(|v| v.to_string());
                    let change = row(&key.to_string(), value.as_deref(), version);
                    store.apply_changes(rows(era, &[change], version)).unwrap();
                }
                Step::Copy => copy = store.snapshot(),
                Step::Restore => {
                    era += 1;
                    store = Table::default();
                    store.apply_snapshot(Rows { era: Some(era), ..copy.clone() }).unwrap();
                }
                Step::Read { to, from } if from != to => {
                    let source = followers.get(from).unwrap_or(&store).clone();
                    apply(&mut followers, &mut told, to, source);
                }
                Step::Read { .. } => {}
            }
        }
        for to in 0..3 {
            apply(&mut followers, &mut told, to, store.clone());
            for reason in [Kept::Missing, Kept::Superseded] {
                let released = followers[to].release(reason);
                tell(&mut told[to], released);
            }
            prop_assert_eq!(values(&followers[to]), values(&store));
            let expected = values(&store).into_iter();
            let expected: BTreeMap<_, _> = expected.map(|(k, v)| (k, v.unwrap())).collect();
            prop_assert_eq!(&told[to], &expected);
        }
    }
}
