//! A small world for the at-most-once tests: entry VM processes with their records, callers that
//! retry, and backend servers whose executions are logged. Sends may take effect late or never.

use std::collections::BTreeMap;
use std::time::Duration;

use binding::{
    Begin, Ending, Identity, KeyRing, Permit, RecordLimits, Records, Ticket, Verdict, Work, WorkId,
};
use config::KeySettings;
use proptest::prelude::*;

pub const LIFETIME: u64 = 1_000;
pub const LIMITS: RecordLimits = RecordLimits {
    records: 6,
    answer_bytes: 400,
    reserved_bytes: 60,
    retention: Duration::from_secs(3),
};

/// One step of the world. Indices select among what exists.
#[derive(Clone, Debug)]
pub enum Op {
    /// A look-up issues a ticket of a process.
    Ticket(usize),
    /// A caller presents a ticket at a process with a deadline, perhaps with another request.
    Call(usize, usize, u64, bool),
    /// A queued attempt is about to be sent.
    Send(usize),
    /// A server executes a request under way, or surely does not.
    Serve(usize, bool),
    /// An attempt learns what became of its send, unless that is lost. One that was refused may
    /// be sent again. An answer has this many bytes.
    Finish(usize, bool, bool, usize),
    /// An attempt gives up before it was sent.
    Refuse(usize),
    /// A waiting attempt looks again.
    Poll(usize),
    /// Milliseconds pass; large steps are pauses.
    Advance(u64),
    /// A new process of an entry VM starts; the old one is dead, or paused and continues later.
    Replace(usize, bool),
    /// A process stops gracefully and may send for this many milliseconds.
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
        1 => n().prop_map(Op::Refuse),
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
    UnderWay,
    Executed(u32),
    Refused,
}

struct Send {
    ticket: usize,
    effect: Effect,
}

struct Process {
    identity: Identity,
    started: u64,
    dead: bool,
    stop: Option<u64>,
    records: Records<u32>,
}

enum Stage {
    Waiting,
    Queued(Permit),
    Sent(Permit, usize),
    Done,
}

struct Attempt {
    ticket: usize,
    process: usize,
    work: Work,
    deadline: u64,
    stage: Stage,
}

/// Start or end of an attempt as its caller sees it.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    Call,
    Response(Outcome),
}

pub struct World {
    ring: KeyRing,
    now: u64,
    processes: Vec<Process>,
    tickets: Vec<Ticket>,
    attempts: Vec<Attempt>,
    sends: Vec<Send>,
    executions: u32,
    /// Until when a ticket's answer must be found again.
    kept: BTreeMap<usize, u64>,
    /// Ticket, attempt and event in the order of time.
    pub events: Vec<(usize, usize, Event)>,
    /// Violations of a guarantee.
    pub faults: Vec<String>,
    /// How often each outcome occurred.
    pub counts: BTreeMap<&'static str, usize>,
}

impl World {
    pub fn new() -> World {
        let secret = "a secret of the test".into();
        let mut world = World {
            ring: KeyRing::new(&[KeySettings { id: 1, secret }]).unwrap(),
            now: 0,
            processes: Vec::new(),
            tickets: Vec::new(),
            attempts: Vec::new(),
            sends: Vec::new(),
            executions: 0,
            kept: BTreeMap::new(),
            events: Vec::new(),
            faults: Vec::new(),
            counts: BTreeMap::new(),
        };
        world.start_process("a");
        world.start_process("b");
        world
    }

    pub fn run(&mut self, ops: &[Op]) {
        for op in ops {
            self.step(op);
            for process in &self.processes {
                let records = &process.records;
                if records.len() > LIMITS.records || records.answer_bytes() > LIMITS.answer_bytes {
                    self.faults.push("limit exceeded".into());
                }
            }
        }
        // Callers whose attempts are still open never learn more.
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
            Op::Send(i) => self.with_attempt(i, 'q', World::send),
            Op::Serve(send, executes) => self.serve(send, executes),
            Op::Finish(i, lost, resend, bytes) => {
                let finish = |world: &mut World, i| world.finish(i, lost, resend, bytes);
                self.with_attempt(i, 's', finish);
            }
            Op::Refuse(i) => self.with_attempt(i, 'q', World::refuse),
            Op::Poll(i) => self.with_attempt(i, 'w', World::begin),
            Op::Advance(ms) => self.now += ms,
            Op::Replace(vm, dead) => self.replace(["a", "b"][vm % 2], dead),
            Op::Stop(process, grace) => {
                let i = process % self.processes.len();
                let process = &mut self.processes[i];
                process.stop = Some(self.now + grace);
                let last_send = Duration::from_millis(self.now + grace - process.started);
                process.records.stop(last_send);
            }
        }
    }

    /// Selects among the attempts in a stage.
    fn with_attempt(&mut self, n: usize, stage: char, f: impl FnOnce(&mut World, usize)) {
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
            identity: Identity {
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
        let expires = Duration::from_millis(self.now - owner.started + LIFETIME);
        let ticket = Ticket::mint(&self.ring, "bid-desk", &owner.identity, expires, nonce);
        self.tickets.push(ticket.unwrap());
    }

    fn call(&mut self, ticket: usize, process: usize, deadline: u64, other_request: bool) {
        let now = self.now;
        let uptime = |p: &Process| Duration::from_millis(now - p.started);
        let judge = |p: &Process| {
            self.tickets[ticket].verify(&self.ring, "bid-desk", &p.identity, uptime(p))
        };
        let mut owner = process;
        let mut verdict = judge(&self.processes[owner]);
        if let Verdict::OtherOwner(vm, incarnation) = &verdict {
            let identity = Identity {
                vm: vm.clone(),
                incarnation: *incarnation,
            };
            owner = self
                .processes
                .iter()
                .position(|p| p.identity == identity)
                .unwrap();
            verdict = judge(&self.processes[owner]);
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
        match verdict {
            Verdict::Mine | Verdict::Expired if is_reached => self.begin(i),
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
            Begin::Run(permit) => {
                self.attempts[i].stage = Stage::Queued(permit);
                return;
            }
            Begin::Running => return,
            Begin::Answered(answer) => Outcome::Answered(answer),
            Begin::NotRun | Begin::Full | Begin::Stopping => Outcome::NotRun,
            Begin::Unknown | Begin::Expired => Outcome::Unknown,
            Begin::DigestMismatch => Outcome::CallerError,
        };
        let ticket = self.attempts[i].ticket;
        let is_kept = self
            .kept
            .get(&ticket)
            .is_some_and(|until| self.now < *until);
        if is_kept && !matches!(outcome, Outcome::Answered(_) | Outcome::CallerError) {
            self.faults
                .push(format!("answer of ticket {ticket} was forgotten"));
        }
        self.end(i, outcome);
    }

    fn send(&mut self, i: usize) {
        let now = self.uptime(i);
        let Stage::Queued(permit) = std::mem::replace(&mut self.attempts[i].stage, Stage::Done)
        else {
            return;
        };
        if self.records(i).about_to_send(&permit, now).is_err() {
            self.attempts[i].stage = Stage::Queued(permit);
            return self.refuse(i);
        }
        let ticket = self.attempts[i].ticket;
        let stop = self.processes[self.attempts[i].process].stop;
        if now >= self.tickets[ticket].expires()
            || self.now >= self.attempts[i].deadline
            || stop.is_some_and(|limit| self.now >= limit)
        {
            self.faults.push(format!("ticket {ticket} sent too late"));
        }
        if self.may_have_run(ticket) {
            self.faults.push(format!("ticket {ticket} sent again"));
        }
        self.attempts[i].stage = Stage::Sent(permit, self.sends.len());
        self.sends.push(Send {
            ticket,
            effect: Effect::UnderWay,
        });
        *self.counts.entry("sends").or_default() += 1;
    }

    fn may_have_run(&self, ticket: usize) -> bool {
        let mut sends = self.sends.iter().filter(|send| send.ticket == ticket);
        sends.any(|send| send.effect != Effect::Refused)
    }

    /// Answers of all executions of a ticket's work.
    pub fn executed(&self, ticket: usize) -> impl Iterator<Item = u32> {
        let sends = self.sends.iter().filter(move |send| send.ticket == ticket);
        sends.filter_map(|send| match send.effect {
            Effect::Executed(answer) => Some(answer),
            _ => None,
        })
    }

    fn serve(&mut self, n: usize, executes: bool) {
        let is_under_way = |send: &&mut Send| send.effect == Effect::UnderWay;
        let mut open: Vec<&mut Send> = self.sends.iter_mut().filter(is_under_way).collect();
        if open.is_empty() {
            return;
        }
        let i = n % open.len();
        if executes {
            self.executions += 1;
            open[i].effect = Effect::Executed(self.executions);
        } else {
            open[i].effect = Effect::Refused;
        }
    }

    fn finish(&mut self, i: usize, lost: bool, resend: bool, bytes: usize) {
        let now = self.uptime(i);
        let (permit, send) = match std::mem::replace(&mut self.attempts[i].stage, Stage::Done) {
            Stage::Sent(permit, send) if lost || self.sends[send].effect != Effect::UnderWay => {
                (permit, send)
            }
            stage => {
                self.attempts[i].stage = stage;
                return;
            }
        };
        let ending = match self.sends[send].effect {
            Effect::Executed(answer) if !lost => {
                let ending = self.records(i).answered(permit, answer, bytes, now);
                if ending == Ending::Answered {
                    let ticket = self.attempts[i].ticket;
                    let lifetime = self.tickets[ticket].expires().saturating_sub(now);
                    let rest = lifetime + LIMITS.retention;
                    self.kept.insert(ticket, self.now + rest.as_millis() as u64);
                }
                return self.end(i, Outcome::Answered(answer));
            }
            Effect::Refused if !lost => {
                self.records(i).surely_not_executed(&permit);
                if resend {
                    self.attempts[i].stage = Stage::Queued(permit);
                    return;
                }
                self.records(i).not_run(permit, now)
            }
            // A mistaken owner calls this not run; the record must say unknown.
            _ => self.records(i).not_run(permit, now),
        };
        self.end(i, outcome(ending));
    }

    fn refuse(&mut self, i: usize) {
        let now = self.uptime(i);
        if let Stage::Queued(permit) = std::mem::replace(&mut self.attempts[i].stage, Stage::Done) {
            let ending = self.records(i).not_run(permit, now);
            self.end(i, outcome(ending));
        }
    }

    /// Reports the outcome to the caller and compares it with the log of executions.
    fn end(&mut self, i: usize, outcome: Outcome) {
        let ticket = self.attempts[i].ticket;
        let has_ended = |&(_, attempt, event): &(usize, usize, Event)| {
            attempt == i && matches!(event, Event::Response(_))
        };
        if self.events.iter().any(has_ended) {
            return;
        }
        self.attempts[i].stage = Stage::Done;
        let name = match outcome {
            Outcome::Answered(answer) => {
                let is_logged =
                    |send: &Send| send.ticket == ticket && send.effect == Effect::Executed(answer);
                if !self.sends.iter().any(is_logged) {
                    self.faults
                        .push(format!("answer {answer} is not from ticket {ticket}"));
                }
                "answered"
            }
            Outcome::NotRun => {
                if self.may_have_run(ticket) {
                    self.faults.push(format!("ticket {ticket}: false not run"));
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

fn outcome(ending: Ending) -> Outcome {
    match ending {
        Ending::NotRun => Outcome::NotRun,
        _ => Outcome::Unknown,
    }
}
