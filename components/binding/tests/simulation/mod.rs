//! Simulation for the at-most-once tests: entry VM processes with their records, callers that
//! retry, and backend servers whose executions are logged. Sends may take effect late or never.

use std::collections::BTreeMap;
use std::time::Duration;

use binding::{
    AttemptOutcome, BeginResult, ExecutionPermit, KeyRing, ProcessIdentity, RecordLimits, Records,
    Ticket, TicketStatus, Work, WorkId,
};
use config::KeySettings;
use proptest::prelude::*;

pub const TICKET_LIFETIME_MS: u64 = 1_000;
pub const LIMITS: RecordLimits = RecordLimits {
    max_records: 6,
    max_answer_bytes: 400,
    reserved_answer_bytes: 60,
    retention: Duration::from_secs(3),
};

/// One step of the simulation. An index selects among the existing items, modulo their number.
#[derive(Clone, Debug)]
pub enum Op {
    /// A look-up issues a ticket owned by a process.
    Ticket(usize),
    /// A caller presents a ticket at a process: ticket, process, deadline in milliseconds from now,
    /// and whether it sends a request with another digest.
    Call(usize, usize, u64, bool),
    /// A queued attempt is sent.
    Send(usize),
    /// A server executes (`true`) or rejects a request that is in flight.
    Serve(usize, bool),
    /// An attempt receives the result of its send: attempt, whether the result is lost, whether a
    /// rejected request is queued again, and the size of an answer in bytes.
    Finish(usize, bool, bool, usize),
    /// A queued attempt is cancelled before it is sent.
    Cancel(usize),
    /// A waiting attempt checks the record again.
    Poll(usize),
    /// Time advances by this many milliseconds; large steps simulate pauses.
    Advance(u64),
    /// A new process of an entry VM starts; the old one is dead (`true`), or paused and resumes
    /// later.
    Replace(usize, bool),
    /// A process shuts down gracefully and may send for this many milliseconds.
    Stop(usize, u64),
}

pub fn op() -> impl Strategy<Value = Op> {
    let n = || 0..1000_usize;
    let flag = prop::bool::weighted;
    let pause = prop_oneof![9 => 1..100_u64, 1 => 500..2_000_u64];
    prop_oneof![
        6 => n().prop_map(Op::Ticket),
        20 => (n(), n(), 1..1500_u64, flag(0.05)).prop_map(|(t, p, ms, x)| Op::Call(t, p, ms, x)),
        20 => n().prop_map(Op::Send),
        16 => (n(), flag(0.7)).prop_map(|(send, executes)| Op::Serve(send, executes)),
        16 => (n(), flag(0.2), flag(0.5), 0..200_usize)
            .prop_map(|(i, lost, resend, bytes)| Op::Finish(i, lost, resend, bytes)),
        1 => n().prop_map(Op::Cancel),
        6 => n().prop_map(Op::Poll),
        6 => pause.prop_map(Op::Advance),
        1 => (n(), flag(0.5)).prop_map(|(vm, dead)| Op::Replace(vm, dead)),
        1 => (n(), 0..300_u64).prop_map(|(process, grace)| Op::Stop(process, grace)),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    Answered(u32),
    NotRun,
    Unknown,
    CallerError,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    InFlight,
    Executed(u32),
    Rejected,
}

struct Send {
    ticket: usize,
    effect: Effect,
}

struct Process {
    identity: ProcessIdentity,
    started: u64,
    dead: bool,
    stop: Option<u64>,
    records: Records<u32>,
}

enum Stage {
    Waiting,
    Queued(ExecutionPermit),
    Sent(ExecutionPermit, usize),
    Done,
}

struct Attempt {
    ticket: usize,
    process: usize,
    work: Work,
    deadline: u64,
    stage: Stage,
}

/// Call or response of an attempt as observed by its caller.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    Call,
    Response(Outcome),
}

pub struct Simulation {
    ring: KeyRing,
    now: u64,
    processes: Vec<Process>,
    tickets: Vec<Ticket>,
    attempts: Vec<Attempt>,
    sends: Vec<Send>,
    executions: u32,
    /// Time until which the answer of a ticket must still be returned.
    answers_kept_until: BTreeMap<usize, u64>,
    /// Ticket, attempt and event in chronological order.
    pub events: Vec<(usize, usize, Event)>,
    /// Violated guarantees.
    pub violations: Vec<String>,
    /// Number of occurrences of each outcome.
    pub counts: BTreeMap<&'static str, usize>,
}

impl Simulation {
    pub fn new() -> Simulation {
        let secret = "a secret of the test".into();
        let mut simulation = Simulation {
            ring: KeyRing::new(&[KeySettings { id: 1, secret }]).unwrap(),
            now: 0,
            processes: Vec::new(),
            tickets: Vec::new(),
            attempts: Vec::new(),
            sends: Vec::new(),
            executions: 0,
            answers_kept_until: BTreeMap::new(),
            events: Vec::new(),
            violations: Vec::new(),
            counts: BTreeMap::new(),
        };
        simulation.start_process("a");
        simulation.start_process("b");
        simulation
    }

    pub fn run(&mut self, ops: &[Op]) {
        for op in ops {
            self.step(op);
            for process in &self.processes {
                let records = &process.records;
                if records.len() > LIMITS.max_records
                    || records.answer_bytes() > LIMITS.max_answer_bytes
                {
                    self.violations.push("records exceed their limits".into());
                }
            }
        }
        // Callers whose attempts are still open receive no response.
        for i in 0..self.attempts.len() {
            self.end(i, Outcome::Unknown);
        }
    }

    fn step(&mut self, op: &Op) {
        match *op {
            Op::Ticket(process) => self.issue(process % self.processes.len()),
            Op::Call(ticket, process, deadline, other) if !self.tickets.is_empty() => {
                let process = process % self.processes.len();
                self.call(ticket % self.tickets.len(), process, deadline, other);
            }
            Op::Call(..) => {}
            Op::Send(i) => self.with_attempt(i, 'q', Simulation::send),
            Op::Serve(send, executes) => self.serve(send, executes),
            Op::Finish(i, lost, resend, bytes) => {
                let finish =
                    |simulation: &mut Simulation, i| simulation.finish(i, lost, resend, bytes);
                self.with_attempt(i, 's', finish);
            }
            Op::Cancel(i) => self.with_attempt(i, 'q', Simulation::cancel),
            Op::Poll(i) => self.with_attempt(i, 'w', Simulation::begin),
            Op::Advance(ms) => self.now += ms,
            Op::Replace(vm, dead) => self.replace(["a", "b"][vm % 2], dead),
            Op::Stop(process, grace) => {
                let i = process % self.processes.len();
                let process = &mut self.processes[i];
                process.stop = Some(self.now + grace);
                let send_cutoff = Duration::from_millis(self.now + grace - process.started);
                process.records.stop(send_cutoff);
            }
        }
    }

    /// Applies `f` to one of the attempts in a stage.
    fn with_attempt(&mut self, n: usize, stage: char, f: impl FnOnce(&mut Simulation, usize)) {
        let stage_of = |attempt: &Attempt| match attempt.stage {
            Stage::Waiting => 'w',
            Stage::Queued(_) => 'q',
            Stage::Sent(..) => 's',
            Stage::Done => 'd',
        };
        let mut found: Vec<usize> = (0..self.attempts.len()).collect();
        found.retain(|&i| stage_of(&self.attempts[i]) == stage);
        if !found.is_empty() {
            f(self, found[n % found.len()]);
        }
    }

    fn start_process(&mut self, vm: &str) {
        self.processes.push(Process {
            identity: ProcessIdentity {
                vm: vm.into(),
                incarnation: self.processes.len() as u64,
            },
            started: self.now,
            dead: false,
            stop: None,
            records: Records::new(LIMITS),
        });
    }

    fn replace(&mut self, vm: &str, dead: bool) {
        for i in 0..self.processes.len() {
            if *self.processes[i].identity.vm != *vm || !dead {
                continue;
            }
            self.processes[i].dead = true;
            for a in 0..self.attempts.len() {
                if self.attempts[a].process == i {
                    self.end(a, Outcome::Unknown);
                }
            }
        }
        self.start_process(vm);
    }

    fn issue(&mut self, process: usize) {
        let mut nonce = [0; 16];
        nonce[..8].copy_from_slice(&(self.tickets.len() as u64).to_be_bytes());
        let owner = &self.processes[process];
        let expires = Duration::from_millis(self.now - owner.started + TICKET_LIFETIME_MS);
        let ticket = Ticket::mint(&self.ring, "bid-desk", &owner.identity, expires, nonce);
        self.tickets.push(ticket.unwrap());
    }

    fn call(&mut self, ticket: usize, process: usize, deadline: u64, other_request: bool) {
        let now = self.now;
        let uptime = |p: &Process| Duration::from_millis(now - p.started);
        let check = |p: &Process| {
            self.tickets[ticket].verify(&self.ring, "bid-desk", &p.identity, uptime(p))
        };
        let mut owner = process;
        let mut status = check(&self.processes[owner]);
        if let TicketStatus::OtherOwner(vm, incarnation) = &status {
            let identity = ProcessIdentity {
                vm: vm.clone(),
                incarnation: *incarnation,
            };
            owner = self
                .processes
                .iter()
                .position(|p| p.identity == identity)
                .unwrap();
            status = check(&self.processes[owner]);
        }
        let started = self.processes[owner].started;
        let work = Work {
            id: WorkId::Ticket(self.tickets[ticket].nonce),
            digest: [u8::from(other_request); 32],
            expires: self.tickets[ticket].expires(),
            deadline: Duration::from_millis(self.now + deadline - started),
            claimed: false,
        };
        let i = self.attempts.len();
        let deadline = self.now + deadline;
        self.attempts.push(Attempt {
            ticket,
            process: owner,
            work,
            deadline,
            stage: Stage::Waiting,
        });
        self.events.push((ticket, i, Event::Call));
        let is_reached = !self.processes[owner].dead;
        match status {
            TicketStatus::Owned | TicketStatus::Expired if is_reached => self.begin(i),
            _ => self.end(i, Outcome::Unknown),
        }
    }

    fn uptime(&self, i: usize) -> Duration {
        let process = &self.processes[self.attempts[i].process];
        Duration::from_millis(self.now - process.started)
    }

    fn records(&mut self, i: usize) -> &mut Records<u32> {
        &mut self.processes[self.attempts[i].process].records
    }

    fn begin(&mut self, i: usize) {
        let now = self.uptime(i);
        let work = self.attempts[i].work;
        let outcome = match self.records(i).begin(&work, now) {
            BeginResult::Run(permit) => {
                self.attempts[i].stage = Stage::Queued(permit);
                return;
            }
            BeginResult::Running => return,
            BeginResult::Answered(answer) => Outcome::Answered(answer),
            BeginResult::NotRun | BeginResult::Full | BeginResult::Stopping => Outcome::NotRun,
            BeginResult::Unknown | BeginResult::Expired => Outcome::Unknown,
            BeginResult::DigestMismatch => Outcome::CallerError,
        };
        let ticket = self.attempts[i].ticket;
        let must_be_kept = self
            .answers_kept_until
            .get(&ticket)
            .is_some_and(|until| self.now < *until);
        if must_be_kept && !matches!(outcome, Outcome::Answered(_) | Outcome::CallerError) {
            self.violations.push(format!(
                "answer of ticket {ticket} was removed during its retention"
            ));
        }
        self.end(i, outcome);
    }

    fn send(&mut self, i: usize) {
        let now = self.uptime(i);
        let Stage::Queued(permit) = std::mem::replace(&mut self.attempts[i].stage, Stage::Done)
        else {
            return;
        };
        if self.records(i).authorize_send(&permit, now).is_err() {
            self.attempts[i].stage = Stage::Queued(permit);
            return self.cancel(i);
        }
        let ticket = self.attempts[i].ticket;
        let stop = self.processes[self.attempts[i].process].stop;
        if now >= self.tickets[ticket].expires()
            || self.now >= self.attempts[i].deadline
            || stop.is_some_and(|limit| self.now >= limit)
        {
            self.violations.push(format!(
                "ticket {ticket} was sent after its expiry, deadline or send cutoff"
            ));
        }
        if self.may_have_run(ticket) {
            self.violations.push(format!(
                "ticket {ticket} was sent again although it may have run"
            ));
        }
        self.attempts[i].stage = Stage::Sent(permit, self.sends.len());
        self.sends.push(Send {
            ticket,
            effect: Effect::InFlight,
        });
        *self.counts.entry("sends").or_default() += 1;
    }

    fn may_have_run(&self, ticket: usize) -> bool {
        let mut sends = self.sends.iter().filter(|send| send.ticket == ticket);
        sends.any(|send| send.effect != Effect::Rejected)
    }

    /// Returns the answers of all executions of a ticket's work.
    pub fn executed(&self, ticket: usize) -> impl Iterator<Item = u32> {
        let sends = self.sends.iter().filter(move |send| send.ticket == ticket);
        sends.filter_map(|send| match send.effect {
            Effect::Executed(answer) => Some(answer),
            _ => None,
        })
    }

    fn serve(&mut self, n: usize, executes: bool) {
        let is_in_flight = |send: &&mut Send| send.effect == Effect::InFlight;
        let mut open: Vec<&mut Send> = self.sends.iter_mut().filter(is_in_flight).collect();
        if open.is_empty() {
            return;
        }
        let i = n % open.len();
        if executes {
            self.executions += 1;
            open[i].effect = Effect::Executed(self.executions);
        } else {
            open[i].effect = Effect::Rejected;
        }
    }

    fn finish(&mut self, i: usize, lost: bool, resend: bool, bytes: usize) {
        let now = self.uptime(i);
        let (permit, send) = match std::mem::replace(&mut self.attempts[i].stage, Stage::Done) {
            Stage::Sent(permit, send) if lost || self.sends[send].effect != Effect::InFlight => {
                (permit, send)
            }
            stage => {
                self.attempts[i].stage = stage;
                return;
            }
        };
        let attempt_outcome = match self.sends[send].effect {
            Effect::Executed(answer) if !lost => {
                let attempt_outcome = self.records(i).finish_answered(permit, answer, bytes, now);
                if attempt_outcome == AttemptOutcome::Answered {
                    let ticket = self.attempts[i].ticket;
                    let lifetime = self.tickets[ticket].expires().saturating_sub(now);
                    let remaining = lifetime + LIMITS.retention;
                    self.answers_kept_until
                        .insert(ticket, self.now + remaining.as_millis() as u64);
                }
                return self.end(i, Outcome::Answered(answer));
            }
            Effect::Rejected if !lost => {
                self.records(i).mark_not_executed(&permit);
                if resend {
                    self.attempts[i].stage = Stage::Queued(permit);
                    return;
                }
                self.records(i).finish_not_run(permit, now)
            }
            // The owner wrongly reports not run; the record must return unknown.
            _ => self.records(i).finish_not_run(permit, now),
        };
        self.end(i, caller_outcome(attempt_outcome));
    }

    fn cancel(&mut self, i: usize) {
        let now = self.uptime(i);
        if let Stage::Queued(permit) = std::mem::replace(&mut self.attempts[i].stage, Stage::Done) {
            let attempt_outcome = self.records(i).finish_not_run(permit, now);
            self.end(i, caller_outcome(attempt_outcome));
        }
    }

    /// Returns the outcome to the caller and checks it against the execution log.
    fn end(&mut self, i: usize, outcome: Outcome) {
        let ticket = self.attempts[i].ticket;
        let has_response = |&(_, attempt, event): &(usize, usize, Event)| {
            attempt == i && matches!(event, Event::Response(_))
        };
        if self.events.iter().any(has_response) {
            return;
        }
        self.attempts[i].stage = Stage::Done;
        let name = match outcome {
            Outcome::Answered(answer) => {
                let is_logged =
                    |send: &Send| send.ticket == ticket && send.effect == Effect::Executed(answer);
                if !self.sends.iter().any(is_logged) {
                    self.violations.push(format!(
                        "answer {answer} does not belong to ticket {ticket}"
                    ));
                }
                "answered"
            }
            Outcome::NotRun => {
                if self.may_have_run(ticket) {
                    self.violations.push(format!(
                        "ticket {ticket} was reported not run although it may have run"
                    ));
                }
                "not run"
            }
            Outcome::Unknown => "unknown",
            Outcome::CallerError => "caller error",
        };
        *self.counts.entry(name).or_default() += 1;
        self.events.push((ticket, i, Event::Response(outcome)));
    }
}

fn caller_outcome(attempt_outcome: AttemptOutcome) -> Outcome {
    match attempt_outcome {
        AttemptOutcome::NotRun => Outcome::NotRun,
        _ => Outcome::Unknown,
    }
}
