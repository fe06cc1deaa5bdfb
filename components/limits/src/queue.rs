//! Admission queue of a service at an entry VM.
//!
//! Classes have strict priority in the order binding, idempotent, deferrable, with a limit on how
//! often a waiting class is passed over. Within a class, deficit round robin divides the starts
//! among houses, so a house gains nothing by opening more connections.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use config::{Class, HouseId};

const CLASSES: usize = 3;

/// Number of houses in a class above which houses without entries are not kept. Callers choose the
/// names of houses, so the number must be limited.
const MAX_IDLE_HOUSES: usize = 256;

/// Longest expected time from queueing to start at a free slot. An entry that is older has waited
/// for a slot.
const MAX_DISPATCH_DELAY: Duration = Duration::from_millis(10);

/// Weight of a new sample in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// Limits of a [`Queue`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Maximum number of waiting entries.
    pub max_len: usize,
    /// Cost that a house may start per round of the deficit round robin.
    pub quantum: u32,
    /// Starts of higher classes after which a waiting idempotent entry goes first.
    pub idempotent_pass_limit: u32,
    /// Starts of higher classes after which a waiting deferrable entry goes first.
    pub deferrable_pass_limit: u32,
    /// Maximum share of the slots for deferrable work (0 to 1).
    pub deferrable_slot_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            max_len: 256,
            quantum: 1,
            idempotent_pass_limit: 8,
            deferrable_pass_limit: 32,
            deferrable_slot_share: config::Rules::default().deferrable_slot_share,
        }
    }
}

/// A waiting request.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry<T> {
    pub class: Class,
    /// House that the caller acts for.
    pub house: HouseId,
    /// Time by which the response must be complete.
    pub deadline: Duration,
    /// Cost in the deficit round robin; 1 for an ordinary request.
    pub cost: u32,
    pub item: T,
}

/// Why a request was refused or removed from the queue. In every case it was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// The queue is full, or the class may not use any slot.
    Full,
    /// The expected wait does not leave enough time before the deadline.
    DeadlineTooNear,
    /// The deadline passed, or became too near, while the request waited.
    Expired,
    /// Removed from a full queue for a request of a higher class, or of a house with fewer waiting
    /// requests.
    Displaced,
}

/// Slots of the service that this entry VM may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Slots {
    /// All slots.
    pub total: u32,
    /// Slots in use by any class.
    pub in_use: u32,
    /// Slots in use by deferrable work.
    pub deferrable: u32,
}

/// Result of a [`Queue::pop`].
#[derive(Debug)]
pub struct Popped<T> {
    /// Entries that were found too late to start; to be answered as not run.
    pub expired: Vec<Entry<T>>,
    /// The entry to start.
    pub next: Option<Entry<T>>,
}

#[derive(Debug)]
struct QueuedEntry<T> {
    entry: Entry<T>,
    queued_at: Duration,
}

impl<T> QueuedEntry<T> {
    /// Tells whether the entry cannot meet its deadline, by the average service time of its class.
    ///
    /// The average applies only to an entry that had to wait. Others are started in any case
    /// before their deadline, so that new samples correct a wrong average.
    fn is_too_late(&self, now: Duration, mean_service_secs: f64) -> bool {
        let waited = now.saturating_sub(self.queued_at) > MAX_DISPATCH_DELAY;
        let needed = if waited { mean_service_secs } else { 0.0 };
        self.entry.deadline <= now + Duration::from_secs_f64(needed)
    }
}

/// Waiting entries of one house in one class.
#[derive(Debug)]
struct House<T> {
    entries: VecDeque<QueuedEntry<T>>,
    deficit: u32,
    /// Whether the house has received its quantum for the current turn.
    has_quantum: bool,
}

/// Waiting entries of one class.
#[derive(Debug)]
struct ClassQueue<T> {
    houses: BTreeMap<HouseId, House<T>>,
    /// Houses that have begun to wait, until their first turn ends; served before `old_houses`, as
    /// the new flows of FQ-CoDel are.
    new_houses: VecDeque<HouseId>,
    /// Other houses in the order of their turns. A house stays for one round after its last entry,
    /// so that it cannot be new for each request by queueing one at a time.
    old_houses: VecDeque<HouseId>,
    len: usize,
    /// Starts of higher classes since the last start of this one, while it had waiting entries.
    passed_over: u32,
}

impl<T> ClassQueue<T> {
    fn new() -> Self {
        ClassQueue {
            houses: BTreeMap::new(),
            new_houses: VecDeque::new(),
            old_houses: VecDeque::new(),
            len: 0,
            passed_over: 0,
        }
    }

    fn house_len(&self, house: &HouseId) -> usize {
        self.houses.get(house).map_or(0, |h| h.entries.len())
    }

    fn push(&mut self, queued_at: Duration, entry: Entry<T>) {
        let house = self.houses.entry(entry.house.clone()).or_insert_with(|| {
            self.new_houses.push_back(entry.house.clone());
            House {
                entries: VecDeque::new(),
                deficit: 0,
                has_quantum: false,
            }
        });
        house.entries.push_back(QueuedEntry { entry, queued_at });
        self.len += 1;
    }

    /// Dequeues the next entry by deficit round robin.
    fn pop(&mut self, quantum: u32) -> Option<QueuedEntry<T>> {
        while self.len > 0 {
            let new_house = self.new_houses.front().cloned();
            let id = new_house
                .clone()
                .or_else(|| self.old_houses.front().cloned())?;
            let house = self.houses.get_mut(&id)?;
            if !house.has_quantum {
                house.has_quantum = true;
                house.deficit = house.deficit.saturating_add(quantum.max(1));
            }
            if house
                .entries
                .front()
                .is_some_and(|w| w.entry.cost <= house.deficit)
            {
                let waiting = house.entries.pop_front()?;
                house.deficit -= waiting.entry.cost;
                self.len -= 1;
                self.clear_if_empty();
                return Some(waiting);
            }
            self.end_turn(&id, new_house.is_some());
        }
        None
    }

    /// Ends the turn of a house that has used its quantum or has no entries.
    fn end_turn(&mut self, id: &HouseId, is_new: bool) {
        let houses = if is_new {
            &mut self.new_houses
        } else {
            &mut self.old_houses
        };
        houses.pop_front();
        let Some(house) = self.houses.get_mut(id) else {
            return;
        };
        house.has_quantum = false;
        if house.entries.is_empty() {
            house.deficit = 0;
            if !is_new || self.houses.len() > MAX_IDLE_HOUSES {
                self.houses.remove(id);
                return;
            }
        }
        self.old_houses.push_back(id.clone());
    }

    /// Resets the round robin when no entries wait: without competing houses, the turns need not be
    /// kept.
    fn clear_if_empty(&mut self) {
        if self.len == 0 {
            self.houses.clear();
            self.new_houses.clear();
            self.old_houses.clear();
        }
    }

    /// Removes the newest entry of the house with the most waiting entries.
    fn pop_from_longest(&mut self) -> Option<Entry<T>> {
        let (id, _) = self.longest_house()?;
        let waiting = self.houses.get_mut(&id)?.entries.pop_back()?;
        self.len -= 1;
        Some(waiting.entry)
    }

    fn longest_house(&self) -> Option<(HouseId, usize)> {
        let longest = self.houses.iter().max_by_key(|(_, h)| h.entries.len());
        longest.map(|(id, h)| (id.clone(), h.entries.len()))
    }

    fn expire(&mut self, now: Duration, mean_service_secs: f64, expired: &mut Vec<Entry<T>>) {
        for house in self.houses.values_mut() {
            let (expired_entries, kept): (VecDeque<_>, _) = std::mem::take(&mut house.entries)
                .into_iter()
                .partition(|w| w.is_too_late(now, mean_service_secs));
            house.entries = kept;
            self.len -= expired_entries.len();
            expired.extend(expired_entries.into_iter().map(|w| w.entry));
        }
        self.clear_if_empty();
    }
}

/// Admission queue of a service at an entry VM.
#[derive(Debug)]
pub struct Queue<T> {
    settings: Settings,
    class_queues: [ClassQueue<T>; CLASSES],
    /// Moving average of the time that a request of each class holds its slot, in seconds.
    mean_service_secs: [Option<f64>; CLASSES],
}

impl<T> Queue<T> {
    pub fn new(settings: Settings) -> Self {
        Queue {
            settings,
            class_queues: [ClassQueue::new(), ClassQueue::new(), ClassQueue::new()],
            mean_service_secs: [None; CLASSES],
        }
    }

    pub fn len(&self) -> usize {
        self.class_queues.iter().map(|l| l.len).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Latest deadline of the waiting entries.
    pub fn latest_deadline(&self) -> Option<Duration> {
        let houses = self.class_queues.iter().flat_map(|l| l.houses.values());
        let waiting = houses.flat_map(|h| &h.entries);
        waiting.map(|w| w.entry.deadline).max()
    }

    /// Records how long a request held its slot, which updates the average for predicting waits.
    pub fn record_service_time(&mut self, class: Class, time: Duration) {
        let secs = time.as_secs_f64();
        let mean = self.mean_service_secs[class as usize].get_or_insert(secs);
        *mean += (secs - *mean) * SERVICE_TIME_WEIGHT;
    }

    /// Expected wait of a new entry of this class and house.
    pub fn expected_wait(&self, class: Class, house: &HouseId, slots: Slots) -> Duration {
        let usable = match class {
            Class::Deferrable => {
                deferrable_slot_limit(slots.total, self.settings.deferrable_slot_share)
            }
            Class::Binding | Class::Idempotent => slots.total,
        };
        let ahead = self.service_secs_ahead(class, house);
        let free =
            slots.in_use < slots.total && (class != Class::Deferrable || slots.deferrable < usable);
        if ahead == 0.0 && free {
            return Duration::ZERO;
        }
        let mean = self.mean_service_secs[class as usize].unwrap_or(0.0);
        Duration::from_secs_f64((ahead + mean) / f64::from(usable.max(1)))
    }

    /// Total service time, in seconds, of the entries that start before a new one: those of higher
    /// classes, and those of earlier rounds in its own class.
    fn service_secs_ahead(&self, class: Class, house: &HouseId) -> f64 {
        let index = class as usize;
        let secs = |index: usize, n: usize| n as f64 * self.mean_service_secs[index].unwrap_or(0.0);
        let higher: f64 = (0..index).map(|r| secs(r, self.class_queues[r].len)).sum();
        let queue = &self.class_queues[index];
        let own = queue.house_len(house);
        let rounds = queue.houses.iter().map(|(id, h)| {
            let earlier = if id == house { own } else { own + 1 };
            h.entries.len().min(earlier)
        });
        higher + secs(index, rounds.sum())
    }

    /// Enqueues an entry, or refuses it as not run.
    ///
    /// On success, returns the entry that was removed from a full queue to make room, if any. It
    /// was not run ([`Refusal::Displaced`]).
    pub fn push(
        &mut self,
        now: Duration,
        entry: Entry<T>,
        slots: Slots,
    ) -> Result<Option<Entry<T>>, (Refusal, Entry<T>)> {
        let remaining = entry.deadline.saturating_sub(now);
        if remaining.is_zero() {
            return Err((Refusal::Expired, entry));
        }
        if entry.class == Class::Deferrable && self.deferrable_has_no_slot(slots) {
            // It would wait until its deadline.
            return Err((Refusal::Full, entry));
        }
        let wait = self.expected_wait(entry.class, &entry.house, slots);
        // Without a wait the request is accepted even if its remaining time is below the average
        // service time, so that new samples correct a wrong average.
        let mean = self.mean_service_secs[entry.class as usize].unwrap_or(0.0);
        let service = Duration::from_secs_f64(mean);
        if !wait.is_zero() && wait + service > remaining {
            return Err((Refusal::DeadlineTooNear, entry));
        }
        let mut displaced = None;
        if self.len() >= self.settings.max_len {
            match self.displace_for(entry.class, &entry.house) {
                Some(old) => displaced = Some(old),
                None => return Err((Refusal::Full, entry)),
            }
        }
        self.class_queues[entry.class as usize].push(now, entry);
        Ok(displaced)
    }

    /// Tells whether the limit leaves no slot for deferrable work.
    fn deferrable_has_no_slot(&self, slots: Slots) -> bool {
        slots.total > 0
            && deferrable_slot_limit(slots.total, self.settings.deferrable_slot_share) == 0
    }

    /// Removes the deferrable entries if their class may no longer use any slot, such as after a
    /// server was drained. They would otherwise wait until their deadlines.
    pub fn remove_unservable(&mut self, slots: Slots) -> Vec<Entry<T>> {
        let mut unservable = Vec::new();
        if self.deferrable_has_no_slot(slots) {
            let queue = &mut self.class_queues[Class::Deferrable as usize];
            unservable.extend(std::iter::from_fn(|| queue.pop_from_longest()));
        }
        unservable
    }

    /// Removes an entry of a lower class, or of a house with more waiting entries, to make room.
    fn displace_for(&mut self, class: Class, house: &HouseId) -> Option<Entry<T>> {
        let index = class as usize;
        for queue in self.class_queues[index + 1..].iter_mut().rev() {
            if queue.len > 0 {
                return queue.pop_from_longest();
            }
        }
        let queue = &mut self.class_queues[index];
        let (_, longest) = queue.longest_house()?;
        if longest > queue.house_len(house) + 1 {
            return queue.pop_from_longest();
        }
        None
    }

    /// Class of the entry that [`Queue::pop`] would dequeue, so that a server can be chosen first.
    pub fn next_class(&self, slots: Slots) -> Option<Class> {
        let classes = [Class::Binding, Class::Idempotent, Class::Deferrable];
        self.next_class_index(slots).map(|index| classes[index])
    }

    /// Dequeues the next entry to start if a slot is free for it.
    pub fn pop(&mut self, now: Duration, slots: Slots) -> Popped<T> {
        let mut expired = Vec::new();
        while let Some(index) = self.next_class_index(slots) {
            let Some(waiting) = self.class_queues[index].pop(self.settings.quantum) else {
                break;
            };
            if waiting.is_too_late(now, self.mean_service_secs[index].unwrap_or(0.0)) {
                expired.push(waiting.entry);
                continue;
            }
            self.record_start(index);
            return Popped {
                expired,
                next: Some(waiting.entry),
            };
        }
        Popped {
            expired,
            next: None,
        }
    }

    /// Removes all entries that can no longer meet their deadlines. They were not run.
    pub fn expire(&mut self, now: Duration) -> Vec<Entry<T>> {
        let mut expired = Vec::new();
        for (queue, mean) in self.class_queues.iter_mut().zip(self.mean_service_secs) {
            queue.expire(now, mean.unwrap_or(0.0), &mut expired);
        }
        expired
    }

    fn next_class_index(&self, slots: Slots) -> Option<usize> {
        if slots.in_use >= slots.total {
            return None;
        }
        let limit = deferrable_slot_limit(slots.total, self.settings.deferrable_slot_share);
        let ready = |index: usize| {
            let deferrable = index == Class::Deferrable as usize;
            self.class_queues[index].len > 0 && (!deferrable || slots.deferrable < limit)
        };
        let pass_limits = [
            u32::MAX,
            self.settings.idempotent_pass_limit,
            self.settings.deferrable_pass_limit,
        ];
        let overdue = |index: &usize| {
            ready(*index) && self.class_queues[*index].passed_over >= pass_limits[*index]
        };
        (0..CLASSES)
            .rev()
            .find(overdue)
            .or_else(|| (0..CLASSES).find(|index| ready(*index)))
    }

    fn record_start(&mut self, started: usize) {
        self.class_queues[started].passed_over = 0;
        for queue in &mut self.class_queues[started + 1..] {
            if queue.len > 0 {
                queue.passed_over = queue.passed_over.saturating_add(1);
            }
        }
    }
}

/// Number of slots out of `total` that deferrable work may use.
///
/// With a share above 0 and at least two slots it may use at least one, so that it makes progress.
/// A single slot is left to the other classes. A share of 1 removes the limit.
pub fn deferrable_slot_limit(total: u32, share: f64) -> u32 {
    if share >= 1.0 {
        return total;
    }
    let limit = (f64::from(total) * share.max(0.0)).floor() as u32;
    if share > 0.0 && total >= 2 {
        limit.max(1)
    } else {
        limit
    }
}
