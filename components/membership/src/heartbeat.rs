//! Heartbeats between the entry VMs of a failure domain.

use std::fmt;
use std::time::Duration;

use config::{EntryVmId, Generation, Incarnation};
use error_stack::Report;
use serde::{Deserialize, Serialize};

use crate::split::Members;

/// Result of reading a heartbeat.
pub type Result<T, E = Report<HeartbeatError>> = std::result::Result<T, E>;

const MAX_NAME: usize = 64;
const MAX_COUNTED: usize = 128;
/// Unit of relayed ages.
const AGE_UNIT: Duration = Duration::from_millis(100);
/// Stands for a VM that was not heard for longer than an age can tell.
const NOT_HEARD: u8 = u8::MAX;

/// Why a heartbeat is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatError {
    /// A VM name is empty or longer than 64 bytes.
    Name,
    /// The state is unknown.
    State(u8),
    /// More than 128 ids are counted.
    Counted(usize),
    /// The counted ids are not sorted, or do not have one age each.
    Layout,
}

impl fmt::Display for HeartbeatError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HeartbeatError::Name => {
                write!(
                    f,
                    "heartbeat has a VM name that is empty or longer than {MAX_NAME} bytes"
                )
            }
            HeartbeatError::State(state) => write!(f, "heartbeat has the unknown state {state}"),
            HeartbeatError::Counted(n) => {
                write!(
                    f,
                    "heartbeat counts {n} VMs; at most {MAX_COUNTED} are valid"
                )
            }
            HeartbeatError::Layout => {
                f.write_str("heartbeat ids are not sorted or do not have one age each")
            }
        }
    }
}

impl std::error::Error for HeartbeatError {}

/// State of an entry VM process; it only advances within one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum VmState {
    /// Takes no work yet.
    Starting,
    /// Takes work.
    Ready,
    /// Takes no new work any more.
    Leaving,
}

/// What an entry VM says about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Sender.
    pub vm: EntryVmId,
    /// Process of the sender.
    pub incarnation: Incarnation,
    /// Uptime of that process.
    pub uptime: Duration,
    /// State of that process.
    pub state: VmState,
    /// Configuration in force there.
    pub generation: Generation,
    /// Slots that it could lend or use now.
    pub free_slots: u32,
    /// VMs that it counts in its slot split, sorted.
    pub counted: Members,
    /// Age of the last heartbeat that the sender got from each of them itself, in units of 100 ms;
    /// 255 for none. With one age per VM, a domain of 44 detects silence as fast as one of 2,
    /// although two of its VMs exchange heartbeats only every 3 s.
    pub ages: Box<[u8]>,
}

impl Heartbeat {
    /// Age as sent.
    pub(crate) fn age_to_wire(age: Option<Duration>) -> u8 {
        let units = age.map(|age| age.as_millis().div_ceil(AGE_UNIT.as_millis()));
        let byte = units.and_then(|units| u8::try_from(units).ok());
        byte.unwrap_or(NOT_HEARD)
    }

    /// VMs that the sender heard, with the age of what it heard.
    pub(crate) fn relayed(&self) -> impl Iterator<Item = (&EntryVmId, Duration)> {
        let ages = self.counted.iter().zip(&self.ages);
        let heard = ages.filter(|(_, age)| **age != NOT_HEARD);
        heard.map(|(vm, age)| (vm, AGE_UNIT * u32::from(*age)))
    }
}

/// Heartbeat as sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatWire {
    /// Sender.
    pub vm: Box<str>,
    /// Process of the sender.
    pub incarnation: u64,
    /// Uptime of that process in milliseconds.
    pub uptime_ms: u64,
    /// State: 0 starting, 1 ready, 2 leaving.
    pub state: u8,
    /// Configuration in force there.
    pub generation: u64,
    /// Slots that it could lend or use now.
    pub free_slots: u32,
    /// VMs that it counts in its slot split, sorted.
    pub counted: Vec<Box<str>>,
    /// Age of the sender's last heartbeat from each of them, in units of 100 ms; 255 for none.
    pub ages: Vec<u8>,
}

impl From<&Heartbeat> for HeartbeatWire {
    fn from(hb: &Heartbeat) -> Self {
        HeartbeatWire {
            vm: hb.vm.clone(),
            incarnation: hb.incarnation,
            uptime_ms: hb.uptime.as_millis() as u64,
            state: hb.state as u8,
            generation: hb.generation,
            free_slots: hb.free_slots,
            counted: hb.counted.to_vec(),
            ages: hb.ages.to_vec(),
        }
    }
}

impl TryFrom<HeartbeatWire> for Heartbeat {
    type Error = Report<HeartbeatError>;

    fn try_from(wire: HeartbeatWire) -> Result<Self> {
        let state = match wire.state {
            0 => VmState::Starting,
            1 => VmState::Ready,
            2 => VmState::Leaving,
            state => return Err(Report::new(HeartbeatError::State(state))),
        };
        if wire.counted.len() > MAX_COUNTED {
            return Err(Report::new(HeartbeatError::Counted(wire.counted.len())));
        }
        let is_name = |name: &str| (1..=MAX_NAME).contains(&name.len());
        if !is_name(&wire.vm) || !wire.counted.iter().all(|name| is_name(name)) {
            return Err(Report::new(HeartbeatError::Name));
        }
        let is_sorted = wire.counted.is_sorted_by(|a, b| a < b);
        if !is_sorted || wire.counted.len() != wire.ages.len() {
            return Err(Report::new(HeartbeatError::Layout));
        }
        Ok(Heartbeat {
            vm: wire.vm,
            incarnation: wire.incarnation,
            uptime: Duration::from_millis(wire.uptime_ms),
            state,
            generation: wire.generation,
            free_slots: wire.free_slots,
            counted: wire.counted.into(),
            ages: wire.ages.into(),
        })
    }
}
