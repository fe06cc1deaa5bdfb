//! Admission queue.

use std::collections::BTreeMap;
use std::time::Duration;

use config::{Class, HouseId};
use limits::queue::{Entry, Queue, Refusal, Settings, Slots, deferrable_slot_limit};
use proptest::prelude::*;

const ALL_FREE: Slots = Slots {
    total: 8,
    in_use: 0,
    deferrable: 0,
};

fn entry(class: Class, house: &str, item: u32) -> Entry<u32> {
    Entry {
        class,
        house: house.into(),
        deadline: Duration::from_mins(10),
        cost: 1,
        item,
    }
}

fn queue(max_len: usize) -> Queue<u32> {
    Queue::new(Settings {
        max_len,
        ..Settings::default()
    })
}

fn push(queue: &mut Queue<u32>, entry: Entry<u32>) -> Result<Option<u32>, Refusal> {
    let pushed = queue.push(Duration::ZERO, entry, ALL_FREE);
    pushed
        .map(|d| d.map(|e| e.item))
        .map_err(|(refusal, _)| refusal)
}

fn pop(queue: &mut Queue<u32>) -> Option<Entry<u32>> {
    queue.pop(Duration::ZERO, ALL_FREE).next
}

/// Guards against starvation of lower classes, and against lower classes that start first.
#[test]
fn classes_have_priority_without_starvation() {
    let mut q = queue(10_000);
    for i in 0..1_000 {
        for class in [Class::Binding, Class::Idempotent, Class::Deferrable] {
            push(&mut q, entry(class, "h", i)).expect("room");
        }
    }
    let started: Vec<Class> = (0..500)
        .filter_map(|_| pop(&mut q))
        .map(|e| e.class)
        .collect();
    let count = |class| started.iter().filter(|c| **c == class).count();
    assert!(started[..8].iter().all(|c| *c == Class::Binding));
    assert!(count(Class::Binding) > 400);
    assert!(count(Class::Idempotent) > 40);
    assert!((10..=20).contains(&count(Class::Deferrable)));
}

/// Guards against a house that gains a larger share of the starts by queueing more requests.
#[test]
fn houses_are_served_in_turn() {
    let mut q = queue(1_000);
    for i in 0..100 {
        push(&mut q, entry(Class::Idempotent, "loud", i)).expect("room");
    }
    for i in 0..5 {
        push(&mut q, entry(Class::Idempotent, "quiet", i)).expect("room");
    }
    let houses: Vec<_> = (0..10)
        .filter_map(|_| pop(&mut q))
        .map(|e| e.house)
        .collect();
    assert_eq!(houses.iter().filter(|h| &***h == "quiet").count(), 5);
}

/// Guards against a house that is new to the round robin with each request, and so gains starts,
/// because it queues one request at a time; and against a longer wait of such a house behind a
/// backlog.
#[test]
fn queueing_one_request_at_a_time_gains_nothing() {
    let mut q = queue(1_000);
    for i in 0..200 {
        push(&mut q, entry(Class::Idempotent, "loud", i)).expect("room");
    }
    // The first house is new as well, and its turn precedes that of the second one.
    assert_eq!(pop(&mut q).map(|e| e.house).as_deref(), Some("loud"));
    let mut houses: Vec<HouseId> = Vec::new();
    for i in 0..100 {
        if houses.last().is_none_or(|h| **h == *"single") {
            push(&mut q, entry(Class::Idempotent, "single", i)).expect("room");
        }
        houses.extend(pop(&mut q).map(|e| e.house));
    }
    assert_eq!(&*houses[0], "single");
    assert_eq!(houses.iter().filter(|h| &***h == "single").count(), 50);
}

/// Guards against a house that gains a larger share by making each request more expensive.
#[test]
fn round_robin_accounts_for_cost() {
    let mut q = queue(1_000);
    for i in 0..100 {
        let heavy = Entry {
            cost: 4,
            ..entry(Class::Idempotent, "heavy", i)
        };
        push(&mut q, heavy).expect("room");
        push(&mut q, entry(Class::Idempotent, "light", i)).expect("room");
    }
    let mut cost: BTreeMap<_, u32> = BTreeMap::new();
    for e in (0..50).filter_map(|_| pop(&mut q)) {
        *cost.entry(e.house).or_default() += e.cost;
    }
    assert!(cost["heavy"].abs_diff(cost["light"]) <= 4, "{cost:?}");
}

/// Guards against a queue that is filled by one house, or by deferrable work, and refuses other
/// requests.
#[test]
fn full_queue_makes_room_for_others() {
    let mut q = queue(4);
    for i in 0..4 {
        push(&mut q, entry(Class::Idempotent, "loud", i)).expect("room");
    }
    let refused = push(&mut q, entry(Class::Idempotent, "loud", 9));
    assert_eq!(refused, Err(Refusal::Full));
    let refused = push(&mut q, entry(Class::Deferrable, "quiet", 9));
    assert_eq!(refused, Err(Refusal::Full));
    assert_eq!(
        push(&mut q, entry(Class::Idempotent, "quiet", 9)),
        Ok(Some(3))
    );
    assert_eq!(push(&mut q, entry(Class::Binding, "loud", 10)), Ok(Some(2)));
    assert_eq!(q.len(), 4);
}

/// Guards against deferrable work that uses all slots and delays the other classes.
#[test]
fn deferrable_work_leaves_slots_free() {
    let mut q = queue(100);
    for i in 0..10 {
        push(&mut q, entry(Class::Deferrable, "h", i)).expect("room");
    }
    let mut slots = ALL_FREE;
    while q.pop(Duration::ZERO, slots).next.is_some() {
        slots.in_use += 1;
        slots.deferrable += 1;
    }
    assert_eq!(slots.deferrable, 4);
    push(&mut q, entry(Class::Binding, "h", 99)).expect("room");
    let next = q.pop(Duration::ZERO, slots).next;
    assert_eq!(next.map(|e| e.item), Some(99));
    assert_eq!(
        [0, 1, 2, 3, 36].map(|n| deferrable_slot_limit(n, 0.5)),
        [0, 0, 1, 1, 18]
    );
    assert_eq!(deferrable_slot_limit(3, 0.0), 0);
    assert_eq!(deferrable_slot_limit(3, 1.0), 3);
}

/// Guards against queued requests that cannot meet their deadlines, and against expired ones that
/// still start.
#[test]
fn deadlines_are_enforced() {
    let mut q = queue(1_000);
    let full = Slots {
        in_use: 8,
        ..ALL_FREE
    };
    let with_deadline = |secs, item| Entry {
        deadline: Duration::from_secs(secs),
        ..entry(Class::Idempotent, "h", item)
    };
    for _ in 0..200 {
        q.record_service_time(Class::Idempotent, Duration::from_secs(1));
    }
    // One request starts per 1/8 s (8 slots, 1 s each): 24 entries fit into the 3 s that remain of
    // the deadline of 4 s after the service time.
    let accepted = (0..100).filter(|i| q.push(Duration::ZERO, with_deadline(4, *i), full).is_ok());
    assert_eq!(accepted.count(), 24);
    let refused = q.push(Duration::ZERO, with_deadline(4, 0), full);
    assert_eq!(
        refused.map_err(|(refusal, _)| refusal),
        Err(Refusal::DeadlineTooNear)
    );
    assert!(q.push(Duration::ZERO, with_deadline(60, 100), full).is_ok());
    let popped = q.pop(Duration::from_secs(4), ALL_FREE);
    assert_eq!(popped.expired.len(), 24);
    assert_eq!(popped.next.map(|e| e.item), Some(100));
    let late = q.push(Duration::from_secs(9), with_deadline(9, 0), ALL_FREE);
    assert_eq!(late.map_err(|(refusal, _)| refusal), Err(Refusal::Expired));
}

/// Guards against starts that cannot end before the deadline, and against an average that is too
/// high and never corrected, because no request is admitted.
#[test]
fn late_entries_do_not_start() {
    let mut q = queue(100);
    q.record_service_time(Class::Idempotent, Duration::from_secs(3));
    let with_deadline = |secs, item| Entry {
        deadline: Duration::from_secs(secs),
        ..entry(Class::Idempotent, "h", item)
    };
    push(&mut q, with_deadline(4, 0)).expect("room");
    push(&mut q, with_deadline(9, 1)).expect("room");
    let popped = q.pop(Duration::from_millis(1_001), ALL_FREE);
    assert_eq!(popped.expired.len(), 1);
    assert_eq!(popped.next.map(|e| e.item), Some(1));
    // Slots are free, so there is no wait: the request starts although its 2 s are below the
    // average of 3 s.
    push(&mut q, with_deadline(2, 2)).expect("room");
    assert_eq!(pop(&mut q).map(|e| e.item), Some(2));
}

fn class() -> impl Strategy<Value = Class> {
    prop_oneof![
        Just(Class::Binding),
        Just(Class::Idempotent),
        Just(Class::Deferrable)
    ]
}

proptest! {
    /// Guards against entries that are lost or dequeued twice.
    #[test]
    fn every_entry_leaves_queue_once(
        ops in prop::collection::vec((class(), 0_u8..4, 1_u32..5, 1_u64..200, any::<bool>()), 1..300)
    ) {
        let mut q = queue(20);
        let mut removed = Vec::new();
        let mut pushed = 0;
        for (i, (class, house, cost, deadline, pop)) in (0_u32..).zip(ops) {
            let now = Duration::from_millis(u64::from(i));
            let entry = Entry {
                class,
                house: house.to_string().into(),
                deadline: now + Duration::from_millis(deadline),
                cost,
                item: i,
            };
            pushed += 1;
            match q.push(now, entry, ALL_FREE) {
                Ok(displaced) => removed.extend(displaced.map(|e| e.item)),
                Err((_, entry)) => removed.push(entry.item),
            }
            prop_assert!(q.len() <= 20);
            if pop {
                let popped = q.pop(now, ALL_FREE);
                removed.extend(popped.expired.into_iter().chain(popped.next).map(|e| e.item));
            }
            if i % 50 == 0 {
                removed.extend(q.expire(now).into_iter().map(|e| e.item));
            }
        }
        while !q.is_empty() {
            let popped = q.pop(Duration::ZERO, ALL_FREE);
            removed.extend(popped.expired.into_iter().chain(popped.next).map(|e| e.item));
        }
        removed.sort_unstable();
        prop_assert_eq!(removed, (0..pushed).collect::<Vec<u32>>());
    }
}

/// Guards against deferrable work that waits until its deadline at an entry VM with a single slot,
/// which it may never use, although another VM could run it at once.
#[test]
fn deferrable_work_is_refused_without_usable_slot() {
    let single = Slots {
        total: 1,
        ..ALL_FREE
    };
    let mut q = queue(10);
    let pushed = q.push(Duration::ZERO, entry(Class::Deferrable, "h", 1), single);
    assert_eq!(
        pushed.map_err(|(refusal, _)| refusal).err(),
        Some(Refusal::Full)
    );
    let pushed = q.push(Duration::ZERO, entry(Class::Idempotent, "h", 2), single);
    assert!(pushed.is_ok());
    let double = Slots {
        total: 2,
        ..ALL_FREE
    };
    let pushed = q.push(Duration::ZERO, entry(Class::Deferrable, "h", 3), double);
    assert!(pushed.is_ok());
}

/// Guards against deferrable work that waits until its deadline because the VM was reduced to a
/// single slot after it was queued.
#[test]
fn queued_deferrable_work_is_removed_without_usable_slot() {
    let mut q = queue(10);
    push(&mut q, entry(Class::Deferrable, "h", 1)).expect("room");
    push(&mut q, entry(Class::Idempotent, "h", 2)).expect("room");
    assert!(q.remove_unservable(ALL_FREE).is_empty());
    let single = Slots {
        total: 1,
        ..ALL_FREE
    };
    let unservable: Vec<u32> = q.remove_unservable(single).iter().map(|e| e.item).collect();
    assert_eq!(unservable, [1]);
    assert_eq!(pop(&mut q).map(|e| e.item), Some(2));
    assert!(q.is_empty());
}
