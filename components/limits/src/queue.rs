//! Admission queue of one service at one entry VM.
//!
//! Classes are served in the order binding, idempotent, deferrable, with a bound on how often a
//! waiting class is passed over. Within a class, deficit round robin divides the starts among
//! houses, so a house gains nothing by opening more connections.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use config::{Class, HouseId};

/// Number of classes.
const CLASSES: usize = 3;

/// Houses without entries that a class keeps; callers choose the names, so there must be a bound.
const MAX_IDLE_HOUSES: usize = 256;

/// Waits up to this are the time between queueing and starting a request at a free slot.
const MIN_WAIT: Duration = Duration::from_millis(10);

/// Weight of a new sample in the average service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// Bounds and weights of a queue.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Largest number of waiting entries.
    pub max_len: usize,
    /// Cost that a house may start per round.
    pub quantum: u32,
    /// Starts of higher classes after which a waiting idempotent entry goes first.
    pub idempotent_pass_limit: u32,
    /// Starts of higher classes after which a waiting deferrable entry goes first.
    pub deferrable_pass_limit: u32,
    /// Share of the slots that deferrable work may hold (0 to 1).
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
    /// Class of the operation.
    pub class: Class,
    /// House that the caller acts for.
    pub house: HouseId,
    /// Time by which the response must be complete.
    pub deadline: Duration,
    /// Cost in the round robin; 1 for an ordinary request.
    pub cost: u32,
    /// The queued item.
    pub item: T,
}

/// Why a request was refused or dropped; in every case it was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// The queue is full, or the class may hold none of the slots.
    Full,
    /// The expected wait does not leave enough time before the deadline.
    DeadlineTooNear,
    /// The deadline passed, or came too near, while the request waited.
    Expired,
    /// A request of a higher class, or of a house with fewer waiting requests, took its place.
    Displaced,
}

/// Slots of the service that this entry VM may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Slots {
    /// All of them.
    pub total: u32,
    /// Held by any class.
    pub in_use: u32,
    /// Held by deferrable work.
    pub deferrable: u32,
}

/// Result of a [`Queue::pop`].
#[derive(Debug)]
pub struct Popped<T> {
    /// Entries found too late on the way; to be answered as not run.
    pub expired: Vec<Entry<T>>,
    /// The entry to start.
    pub next: Option<Entry<T>>,
}

/// An entry and when it was queued.
#[derive(Debug)]
struct Waiting<T> {
    entry: Entry<T>,
    since: Duration,
}

impl<T> Waiting<T> {
    /// Too late to start, given the average service time of its class.
    ///
    /// The average counts only for an entry that had to wait. Others are tried even if they look
    /// too late, so that a wrong average is corrected by new samples.
    fn is_late(&self, now: Duration, mean_secs: f64) -> bool {
        let waited = now.saturating_sub(self.since) > MIN_WAIT;
        let needed = if waited { mean_secs } else { 0.0 };
        self.entry.deadline <= now + Duration::from_secs_f64(needed)
    }
}

/// Waiting entries of one house in one class.
#[derive(Debug)]
struct House<T> {
    entries: VecDeque<Waiting<T>>,
    deficit: u32,
    /// The house has received its quantum for the current visit.
    visited: bool,
}

/// Waiting entries of one class.
#[derive(Debug)]
struct Lane<T> {
    houses: BTreeMap<HouseId, House<T>>,
    /// Houses that began to wait since their last turn; they go before `turns`.
    fresh: VecDeque<HouseId>,
    /// Other houses in the order of their turns. A house stays for one round after its last
    /// entry, so that it cannot become fresh by waiting and leaving in turn.
    turns: VecDeque<HouseId>,
    len: usize,
    passed_over: u32,
}

impl<T> Lane<T> {
    fn new() -> Self {
        Lane {
            houses: BTreeMap::new(),
            fresh: VecDeque::new(),
            turns: VecDeque::new(),
            len: 0,
            passed_over: 0,
        }
    }

    fn house_len(&self, house: &HouseId) -> usize {
        self.houses.get(house).map_or(0, |h| h.entries.len())
    }

    fn push(&mut self, since: Duration, entry: Entry<T>) {
        let house = self.houses.entry(entry.house.clone()).or_insert_with(|| {
            self.fresh.push_back(entry.house.clone());
            House {
                entries: VecDeque::new(),
                deficit: 0,
                visited: false,
            }
        });
        house.entries.push_back(Waiting { entry, since });
        self.len += 1;
    }

    /// Takes the next entry by deficit round robin.
    fn pop(&mut self, quantum: u32) -> Option<Waiting<T>> {
        while self.len > 0 {
            let fresh = self.fresh.front().cloned();
            let id = fresh.clone().or_else(|| self.turns.front().cloned())?;
            let house = self.houses.get_mut(&id)?;
            if !house.visited {
                house.visited = true;
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
            self.end_turn(&id, fresh.is_some());
        }
        None
    }

    /// The house has used its quantum, or has no entries.
    fn end_turn(&mut self, id: &HouseId, fresh: bool) {
        let turns = if fresh {
            &mut self.fresh
        } else {
            &mut self.turns
        };
        turns.pop_front();
        let Some(house) = self.houses.get_mut(id) else {
            return;
        };
        house.visited = false;
        if house.entries.is_empty() {
            house.deficit = 0;
            if !fresh || self.houses.len() > MAX_IDLE_HOUSES {
                self.houses.remove(id);
                return;
            }
        }
        self.turns.push_back(id.clone());
    }

    /// Without waiting entries nobody competes, so the turns need not be kept.
    fn clear_if_empty(&mut self) {
        if self.len == 0 {
            self.houses.clear();
            self.fresh.clear();
            self.turns.clear();
        }
    }

    /// Removes the newest entry of the house with the most waiting entries.
    fn pop_longest(&mut self) -> Option<Entry<T>> {
        let (id, _) = self.longest()?;
        let waiting = self.houses.get_mut(&id)?.entries.pop_back()?;
        self.len -= 1;
        Some(waiting.entry)
    }

    fn longest(&self) -> Option<(HouseId, usize)> {
        let longest = self.houses.iter().max_by_key(|(_, h)| h.entries.len());
        longest.map(|(id, h)| (id.clone(), h.entries.len()))
    }

    fn expire(&mut self, now: Duration, mean_secs: f64, expired: &mut Vec<Entry<T>>) {
        for house in self.houses.values_mut() {
            let (late, kept): (VecDeque<_>, _) = std::mem::take(&mut house.entries)
                .into_iter()
                .partition(|w| w.is_late(now, mean_secs));
            house.entries = kept;
            self.len -= late.len();
            expired.extend(late.into_iter().map(|w| w.entry));
        }
        self.clear_if_empty();
    }
}

/// Admission queue of one service at one entry VM.
#[derive(Debug)]
pub struct Queue<T> {
    settings: Settings,
    lanes: [Lane<T>; CLASSES],
    /// Average time that a request of each class holds its slot, in seconds.
    mean_secs: [Option<f64>; CLASSES],
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new(settings: Settings) -> Self {
        Queue {
            settings,
            lanes: [Lane::new(), Lane::new(), Lane::new()],
            mean_secs: [None; CLASSES],
        }
    }

    /// Number of waiting entries.
    pub fn len(&self) -> usize {
        self.lanes.iter().map(|l| l.len).sum()
    }

    /// True if nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Latest deadline of the waiting entries.
    pub fn latest_deadline(&self) -> Option<Duration> {
        let houses = self.lanes.iter().flat_map(|l| l.houses.values());
        let waiting = houses.flat_map(|h| &h.entries);
        waiting.map(|w| w.entry.deadline).max()
    }

    /// Records how long a request held its slot; the averages predict waits.
    pub fn record_service_time(&mut self, class: Class, time: Duration) {
        let secs = time.as_secs_f64();
        let mean = self.mean_secs[class as usize].get_or_insert(secs);
        *mean += (secs - *mean) * SERVICE_TIME_WEIGHT;
    }

    /// Expected wait of a new entry of this class and house.
    pub fn expected_wait(&self, class: Class, house: &HouseId, slots: Slots) -> Duration {
        let usable = match class {
            Class::Deferrable => deferrable_limit(slots.total, self.settings.deferrable_slot_share),
            Class::Binding | Class::Idempotent => slots.total,
        };
        let ahead = self.secs_ahead(class, house);
        let free =
            slots.in_use < slots.total && (class != Class::Deferrable || slots.deferrable < usable);
        if ahead == 0.0 && free {
            return Duration::ZERO;
        }
        let mean = self.mean_secs[class as usize].unwrap_or(0.0);
        Duration::from_secs_f64((ahead + mean) / f64::from(usable.max(1)))
    }

    /// Slot time of the entries that start before a new one: those of higher classes, and the
    /// earlier rounds of its own.
    fn secs_ahead(&self, class: Class, house: &HouseId) -> f64 {
        let rank = class as usize;
        let secs = |rank: usize, n: usize| n as f64 * self.mean_secs[rank].unwrap_or(0.0);
        let higher: f64 = (0..rank).map(|r| secs(r, self.lanes[r].len)).sum();
        let lane = &self.lanes[rank];
        let own = lane.house_len(house);
        let rounds = lane.houses.iter().map(|(id, h)| {
            let earlier = if id == house { own } else { own + 1 };
            h.entries.len().min(earlier)
        });
        higher + secs(rank, rounds.sum())
    }

    /// Queues an entry, or refuses it as not run.
    ///
    /// On success, returns the entry that had to make room in a full queue, if any; it was not
    /// run ([`Refusal::Displaced`]).
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
        if entry.class == Class::Deferrable && self.has_none_for_deferrable(slots) {
            // It would wait for its whole deadline.
            return Err((Refusal::Full, entry));
        }
        let wait = self.expected_wait(entry.class, &entry.house, slots);
        // Without a wait the request is tried even if it looks too late, so that a wrong
        // average is corrected by new samples.
        let mean = self.mean_secs[entry.class as usize].unwrap_or(0.0);
        let service = Duration::from_secs_f64(mean);
        if !wait.is_zero() && wait + service > remaining {
            return Err((Refusal::DeadlineTooNear, entry));
        }
        let mut displaced = None;
        if self.len() >= self.settings.max_len {
            match self.make_room(entry.class, &entry.house) {
                Some(old) => displaced = Some(old),
                None => return Err((Refusal::Full, entry)),
            }
        }
        self.lanes[entry.class as usize].push(now, entry);
        Ok(displaced)
    }

    /// True if deferrable work may hold none of the slots.
    fn has_none_for_deferrable(&self, slots: Slots) -> bool {
        slots.total > 0 && deferrable_limit(slots.total, self.settings.deferrable_slot_share) == 0
    }

    /// Removes the deferrable entries if their class may hold none of the slots any more, as after
    /// a server was drained; they would wait for their whole deadline.
    pub fn take_stranded(&mut self, slots: Slots) -> Vec<Entry<T>> {
        let mut stranded = Vec::new();
        if self.has_none_for_deferrable(slots) {
            let lane = &mut self.lanes[Class::Deferrable as usize];
            stranded.extend(std::iter::from_fn(|| lane.pop_longest()));
        }
        stranded
    }

    /// Removes an entry of a lower class, or of a house that holds more of the queue.
    fn make_room(&mut self, class: Class, house: &HouseId) -> Option<Entry<T>> {
        let rank = class as usize;
        for lane in self.lanes[rank + 1..].iter_mut().rev() {
            if lane.len > 0 {
                return lane.pop_longest();
            }
        }
        let lane = &mut self.lanes[rank];
        let (_, longest) = lane.longest()?;
        if longest > lane.house_len(house) + 1 {
            return lane.pop_longest();
        }
        None
    }

    /// Class of the entry that [`Queue::pop`] would take, so that a server can be chosen first.
    pub fn next_class(&self, slots: Slots) -> Option<Class> {
        let classes = [Class::Binding, Class::Idempotent, Class::Deferrable];
        self.next_lane(slots).map(|rank| classes[rank])
    }

    /// Takes the next entry to start if a slot is free for it.
    pub fn pop(&mut self, now: Duration, slots: Slots) -> Popped<T> {
        let mut expired = Vec::new();
        while let Some(rank) = self.next_lane(slots) {
            let Some(waiting) = self.lanes[rank].pop(self.settings.quantum) else {
                break;
            };
            if waiting.is_late(now, self.mean_secs[rank].unwrap_or(0.0)) {
                expired.push(waiting.entry);
                continue;
            }
            self.count_pass(rank);
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

    /// Removes all entries that cannot meet their deadline any more; each was not run.
    pub fn expire(&mut self, now: Duration) -> Vec<Entry<T>> {
        let mut expired = Vec::new();
        for (lane, mean) in self.lanes.iter_mut().zip(self.mean_secs) {
            lane.expire(now, mean.unwrap_or(0.0), &mut expired);
        }
        expired
    }

    fn next_lane(&self, slots: Slots) -> Option<usize> {
        if slots.in_use >= slots.total {
            return None;
        }
        let limit = deferrable_limit(slots.total, self.settings.deferrable_slot_share);
        let ready = |rank: usize| {
            let deferrable = rank == Class::Deferrable as usize;
            self.lanes[rank].len > 0 && (!deferrable || slots.deferrable < limit)
        };
        let limits = [
            u32::MAX,
            self.settings.idempotent_pass_limit,
            self.settings.deferrable_pass_limit,
        ];
        let overdue = |rank: &usize| ready(*rank) && self.lanes[*rank].passed_over >= limits[*rank];
        (0..CLASSES)
            .rev()
            .find(overdue)
            .or_else(|| (0..CLASSES).find(|rank| ready(*rank)))
    }

    fn count_pass(&mut self, started: usize) {
        self.lanes[started].passed_over = 0;
        for lane in &mut self.lanes[started + 1..] {
            if lane.len > 0 {
                lane.passed_over = lane.passed_over.saturating_add(1);
            }
        }
    }
}

/// Slots of `total` that deferrable work may hold.
///
/// At least one if there are two or more, so that it makes progress; none of a single slot,
/// because that is the last one. A share of 1 lifts the limit.
pub fn deferrable_limit(total: u32, share: f64) -> u32 {
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
