//! Heartbeats between the entry VMs of a failure domain.

use std::fmt;
use std::time::Duration;

use config::{EntryVmId, Generation, Incarnation};
use error_stack::Report;
use serde::{Deserialize, Serialize};

use crate::split::MemberSet;

/// Result of decoding a heartbeat.
pub type Result<T, E = Report<HeartbeatError>> = std::result::Result<T, E>;

const MAX_VM_ID_BYTES: usize = 64;
const MAX_MEMBERS: usize = 128;
/// Resolution of relayed heartbeat ages.
const AGE_UNIT: Duration = Duration::from_millis(100);
/// Encoded age of a VM without a heartbeat within the maximum encodable age (25.4 s).
const NOT_HEARD: u8 = u8::MAX;

/// Reason for rejecting a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatError {
    /// A VM id is empty or longer than 64 bytes.
    InvalidVmId,
    /// The process state is unknown.
    UnknownState(u8),
    /// The slot split has more than 128 members.
    TooManyMembers(usize),
    /// The members are not sorted and unique, or do not have one age each.
    MalformedMembers,
}

impl fmt::Display for HeartbeatError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HeartbeatError::InvalidVmId => {
                write!(
                    f,
                    "heartbeat has a VM id that is empty or longer than {MAX_VM_ID_BYTES} bytes"
                )
            }
            HeartbeatError::UnknownState(state) => {
                write!(f, "heartbeat has unknown process state {state}")
            }
            HeartbeatError::TooManyMembers(n) => {
                write!(
                    f,
                    "heartbeat has {n} members; at most {MAX_MEMBERS} are allowed"
                )
            }
            HeartbeatError::MalformedMembers => f.write_str(
                "heartbeat members are not sorted and unique, or do not have one age each",
            ),
        }
    }
}

impl std::error::Error for HeartbeatError {}

/// State of an entry VM process. Within one incarnation it only moves forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProcessState {
    /// Does not accept work yet.
    Starting,
    /// Accepts work.
    Ready,
    /// No longer accepts new work.
    Leaving,
}

/// Status of an entry VM as reported by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Id of the sender.
    pub vm: EntryVmId,
    /// Incarnation of the sending process.
    pub incarnation: Incarnation,
    /// Uptime of the sending process.
    pub uptime: Duration,
    /// State of the sending process.
    pub state: ProcessState,
    /// Generation of the configuration in force at the sender.
    pub generation: Generation,
    /// Slots that the sender could use or lend now.
    pub free_slots: u32,
    /// Members of the slot split that the sender announces, sorted.
    pub members: MemberSet,
    /// Age of the last heartbeat that the sender received directly from each member, in units of
    /// 100 ms; 255 for none. With these ages a domain of 44 VMs detects failures as fast as one of
    /// 2, although two given VMs exchange heartbeats only every 3 s.
    pub ages: Box<[u8]>,
}

impl Heartbeat {
    /// Encodes an age, rounded up, in units of `AGE_UNIT`.
    pub(crate) fn encode_age(age: Option<Duration>) -> u8 {
        let units = age.map(|age| age.as_millis().div_ceil(AGE_UNIT.as_millis()));
        let byte = units.and_then(|units| u8::try_from(units).ok());
        byte.unwrap_or(NOT_HEARD)
    }

    /// Returns the VMs that the sender received heartbeats from, with the ages of the last ones.
    pub(crate) fn relayed_ages(&self) -> impl Iterator<Item = (&EntryVmId, Duration)> {
        let ages = self.members.iter().zip(&self.ages);
        let heard = ages.filter(|(_, age)| **age != NOT_HEARD);
        heard.map(|(vm, age)| (vm, AGE_UNIT * u32::from(*age)))
    }
}

/// Wire format of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatWire {
    /// Id of the sender.
    pub vm: Box<str>,
    /// Incarnation of the sending process.
    pub incarnation: u64,
    /// Uptime of the sending process in milliseconds.
    pub uptime_ms: u64,
    /// State: 0 starting, 1 ready, 2 leaving.
    pub state: u8,
    /// Generation of the configuration in force at the sender.
    pub generation: u64,
    /// Slots that the sender could use or lend now.
    pub free_slots: u32,
    /// Members of the slot split that the sender announces, sorted.
    #[serde(rename = "counted")]
    pub members: Vec<Box<str>>,
    /// Age of the sender's last heartbeat from each member, in units of 100 ms; 255 for none.
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
            members: hb.members.to_vec(),
            ages: hb.ages.to_vec(),
        }
    }
}

impl TryFrom<HeartbeatWire> for Heartbeat {
    type Error = Report<HeartbeatError>;

    fn try_from(wire: HeartbeatWire) -> Result<Self> {
        let state = match wire.state {
            0 => ProcessState::Starting,
            1 => ProcessState::Ready,
            2 => ProcessState::Leaving,
            state => return Err(Report::new(HeartbeatError::UnknownState(state))),
        };
        if wire.members.len() > MAX_MEMBERS {
            return Err(Report::new(HeartbeatError::TooManyMembers(
                wire.members.len(),
            )));
        }
        let is_valid_id = |id: &str| (1..=MAX_VM_ID_BYTES).contains(&id.len());
        if !is_valid_id(&wire.vm) || !wire.members.iter().all(|id| is_valid_id(id)) {
            return Err(Report::new(HeartbeatError::InvalidVmId));
        }
        let is_sorted = wire.members.is_sorted_by(|a, b| a < b);
        if !is_sorted || wire.members.len() != wire.ages.len() {
            return Err(Report::new(HeartbeatError::MalformedMembers));
        }
        Ok(Heartbeat {
            vm: wire.vm,
            incarnation: wire.incarnation,
            uptime: Duration::from_millis(wire.uptime_ms),
            state,
            generation: wire.generation,
            free_slots: wire.free_slots,
            members: wire.members.into(),
            ages: wire.ages.into(),
        })
    }
}
