//! Slots that one entry VM holds, lends and borrows.

use std::collections::BTreeMap;
use std::time::Duration;

use config::{Class, Generation, ServerId};
use error_stack::{Report, ResultExt as _};
use serde::{Deserialize, Serialize};

use super::error::{Error, Result};
use super::split::Parts;
use super::terms::{LoanRequest, Settings, Term};

/// Reply of a lender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Number of the loan, unique at the lender.
    pub loan: u64,
    /// Slots lent.
    pub slots: u32,
}

/// Wire form of a [`Grant`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireGrant {
    /// Number of the loan.
    pub loan: u64,
    /// Slots lent.
    pub slots: u32,
}

impl From<Grant> for WireGrant {
    fn from(grant: Grant) -> Self {
        WireGrant {
            loan: grant.loan,
            slots: grant.slots,
        }
    }
}

impl From<WireGrant> for Grant {
    fn from(wire: WireGrant) -> Self {
        Grant {
            loan: wire.loan,
            slots: wire.slots,
        }
    }
}

/// A borrowed loan whose extension should be requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// Key of the loan at the borrower.
    pub key: u64,
    /// Number of the loan at the lender.
    pub loan: u64,
    /// Server of the slots.
    pub server: ServerId,
}

/// Right to have one request in flight at a server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Permit {
    /// Server.
    pub server: ServerId,
    /// Number of the permit at this VM.
    pub number: u64,
}

/// Slots of one server at this VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Own part.
    pub part: u32,
    /// Own slots in use.
    pub own: u32,
    /// Own slots lent to others.
    pub lent: u32,
    /// Borrowed slots.
    pub borrowed: u32,
    /// Borrowed slots in use.
    pub borrowed_in_use: u32,
}

impl Usage {
    /// Slots that new requests may take.
    pub fn free(&self) -> u32 {
        self.free_own() + self.borrowed.saturating_sub(self.borrowed_in_use)
    }

    /// Own slots that new requests may take.
    pub fn free_own(&self) -> u32 {
        self.part.saturating_sub(self.own + self.lent)
    }
}

#[derive(Debug)]
struct Lent {
    server: ServerId,
    slots: u32,
    term: Term,
    until: Duration,
}

#[derive(Debug)]
struct Borrowed {
    loan: u64,
    server: ServerId,
    slots: u32,
    term: Term,
    until: Duration,
    /// A request has used it.
    used: bool,
}

/// Slots that one entry VM holds, lends and borrows.
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    /// Newest adopted generation.
    generation: Option<Generation>,
    /// Newest generation that all live peers have settled.
    in_force: Option<Generation>,
    /// Part under the newest configuration.
    target: Parts,
    /// Part in force: the smaller of the old and the new one until all live peers have settled.
    parts: Parts,
    /// Permits in use, with the key of the borrowed loan that each one uses.
    permits: BTreeMap<Permit, Option<u64>>,
    lent: BTreeMap<u64, Lent>,
    borrowed: BTreeMap<u64, Borrowed>,
    next: u64,
    ticked: Duration,
    confirmed: bool,
}

impl Ledger {
    /// Creates a ledger that holds nothing until [`Ledger::adopt`] and [`Ledger::confirm`].
    pub fn new(settings: Settings, now: Duration) -> Self {
        Ledger {
            settings,
            generation: None,
            in_force: None,
            target: Parts::new(),
            parts: Parts::new(),
            permits: BTreeMap::new(),
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            next: 0,
            ticked: now,
            confirmed: false,
        }
    }

    /// Adopts the parts of a newer split. Reductions are in force at once; increases only after
    /// [`Ledger::peers_settled`], because a peer may still use the slots under its older split.
    pub fn adopt(&mut self, generation: Generation, target: Parts) {
        if self.generation.is_some_and(|newest| generation <= newest) {
            return;
        }
        self.generation = Some(generation);
        let mut parts = target.clone();
        for (server, part) in &mut parts {
            *part = (*part).min(self.parts.get(server).copied().unwrap_or(0));
        }
        self.parts = parts;
        self.target = target;
    }

    /// Newest adopted generation.
    pub fn generation(&self) -> Option<Generation> {
        self.generation
    }

    /// True when everything in use or lent fits the reduced parts, so this VM may announce the
    /// generation as settled.
    pub fn settled(&self) -> bool {
        let servers = self.permits.keys().map(|p| &p.server);
        let servers = servers.chain(self.lent.values().map(|l| &l.server));
        servers.into_iter().all(|server| {
            // Borrowed slots do not matter here.
            let usage = self.usage(self.ticked, server);
            usage.own + usage.lent <= usage.part
        })
    }

    /// All live peers have announced this generation as settled, and count this VM; increases come
    /// into force. A starting VM holds nothing before.
    pub fn peers_settled(&mut self, generation: Generation) {
        if self.generation == Some(generation) {
            self.parts.clone_from(&self.target);
            self.in_force = Some(generation);
        }
    }

    /// Adopts the parts of the same configuration with another set of gone VMs: reductions (a VM
    /// has come back) at once, increases (a VM is listed as gone and has been silent for 5 s)
    /// too, unless peers have yet to settle the generation.
    pub fn reassign(&mut self, target: Parts) {
        for (server, part) in &target {
            let old = self.target.get(server).copied().unwrap_or(0);
            let Some(in_force) = self.parts.get_mut(server) else {
                continue;
            };
            if self.in_force == self.generation {
                *in_force += part.saturating_sub(old);
            }
            *in_force = (*in_force).min(*part);
        }
        self.target = target;
    }

    /// Advances time: ends loans and detects pauses. Returns the permits on borrowed slots whose
    /// lease has ended; their requests must be cancelled now and then released.
    pub fn tick(&mut self, now: Duration) -> Vec<Permit> {
        self.check_pause(now);
        self.ticked = self.ticked.max(now);
        self.lent.retain(|_, l| now < l.until);
        let margin = self.settings.margin;
        let ended = |key: &u64| {
            let loan = self.borrowed.get(key);
            loan.is_none_or(|b| now + margin >= b.until)
        };
        let uses_ended = |loan: &Option<u64>| loan.as_ref().is_some_and(ended);
        let late = self.permits.iter().filter(|(_, loan)| uses_ended(loan));
        let late = late.map(|(permit, _)| permit.clone()).collect();
        self.borrowed.retain(|_, b| now + margin < b.until);
        late
    }

    fn check_pause(&mut self, now: Duration) {
        if now.saturating_sub(self.ticked) > self.settings.pause_limit {
            self.confirmed = false;
        }
    }

    /// The peers count this VM as present (or the VM list says that there are none).
    pub fn confirm(&mut self, now: Duration) {
        self.ticked = self.ticked.max(now);
        self.confirmed = true;
    }

    /// Slots of a server at this VM. An idle borrowed slot counts while new requests may take it.
    pub fn usage(&self, now: Duration, server: &ServerId) -> Usage {
        let mut usage = Usage {
            part: self.parts.get(server).copied().unwrap_or(0),
            ..Usage::default()
        };
        for loan in self.permits_of(server) {
            match loan {
                Some(_) => usage.borrowed_in_use += 1,
                None => usage.own += 1,
            }
        }
        let lent = self.lent.values().filter(|l| l.server == *server);
        usage.lent = lent.map(|l| l.slots).sum();
        let borrowed = self.borrowed.iter().filter(|(_, b)| b.server == *server);
        usage.borrowed = borrowed
            .map(|(key, b)| {
                if self.may_start(now, b) {
                    b.slots
                } else {
                    self.used(*key, server)
                }
            })
            .sum();
        usage
    }

    fn permits_of<'a>(&'a self, server: &'a ServerId) -> impl Iterator<Item = &'a Option<u64>> {
        let first = Permit {
            server: server.clone(),
            number: 0,
        };
        let of_server = self.permits.range(first..);
        let of_server = of_server.take_while(move |(p, _)| p.server == *server);
        of_server.map(|(_, loan)| loan)
    }

    /// Takes a slot for a request with this deadline. Binding work cannot be cancelled when a
    /// lease ends, so it uses borrowed slots only under a fixed term that outlasts its deadline. All
    /// work prefers borrowed slots and leaves the own ones.
    pub fn acquire(
        &mut self,
        now: Duration,
        server: &ServerId,
        class: Class,
        deadline: Duration,
    ) -> Result<Permit> {
        self.check_pause(now);
        if !self.confirmed {
            return Err(Report::new(Error::Paused));
        }
        if !self.parts.contains_key(server) {
            return Err(Report::new(Error::UnknownServer).attach(server.clone()));
        }
        let loan = match class {
            Class::Binding => self.free_fixed(now, server, deadline).next(),
            Class::Idempotent | Class::Deferrable => self.free_borrowed(now, server).next(),
        };
        if loan.is_none() && self.usage(now, server).free_own() == 0 {
            return Err(Report::new(Error::NoIdleSlot));
        }
        if let Some(loan) = loan.and_then(|key| self.borrowed.get_mut(&key)) {
            loan.used = true;
        }
        self.next += 1;
        let permit = Permit {
            server: server.clone(),
            number: self.next,
        };
        self.permits.insert(permit.clone(), loan);
        Ok(permit)
    }

    /// Slots that binding work with this deadline may take.
    pub fn free_binding(&self, now: Duration, server: &ServerId, deadline: Duration) -> u32 {
        let fixed = self.free_fixed(now, server, deadline);
        let fixed = fixed.map(|key| self.borrowed[&key].slots - self.used(key, server));
        self.usage(now, server).free_own() + fixed.sum::<u32>()
    }

    /// Tells whether a request may still be sent on its slot: this process was not paused and the
    /// loan of a borrowed slot has not ended.
    pub fn may_send(&mut self, now: Duration, permit: &Permit) -> bool {
        self.check_pause(now);
        let runs = |key: &u64| {
            let loan = self.borrowed.get(key);
            loan.is_some_and(|b| now + self.settings.margin < b.until)
        };
        let loan = self.permits.get(permit);
        self.confirmed && loan.is_some_and(|loan| loan.as_ref().is_none_or(runs))
    }

    /// Borrowed loans with an idle slot that a new request may take.
    fn free_borrowed(&self, now: Duration, server: &ServerId) -> impl Iterator<Item = u64> {
        let usable = self.borrowed.iter().filter(move |(key, b)| {
            b.server == *server && self.may_start(now, b) && self.used(**key, server) < b.slots
        });
        usable.map(|(key, _)| *key)
    }

    /// Borrowed loans with an idle slot and a fixed term that outlasts the deadline.
    fn free_fixed(
        &self,
        now: Duration,
        server: &ServerId,
        deadline: Duration,
    ) -> impl Iterator<Item = u64> {
        let end = deadline + self.settings.fixed_margin;
        self.free_borrowed(now, server).filter(move |key| {
            let loan = &self.borrowed[key];
            matches!(loan.term, Term::Fixed(_)) && end <= loan.until
        })
    }

    /// New requests start only while half of an ordinary term is left, so that it can be extended
    /// in time.
    fn may_start(&self, now: Duration, loan: &Borrowed) -> bool {
        loan.until.saturating_sub(now) > self.settings.term / 2
    }

    /// Slots of a borrowed loan that are in use.
    fn used(&self, key: u64, server: &ServerId) -> u32 {
        let used = self.permits_of(server).filter(|l| **l == Some(key));
        used.count() as u32
    }

    /// Returns a slot after the request has ended or was cancelled.
    pub fn release(&mut self, permit: &Permit) {
        self.permits.remove(permit);
    }

    /// Lends up to `wanted` idle slots but keeps `reserve` idle ones. The lender's term starts
    /// at this reply, later than the borrower's.
    pub fn lend(
        &mut self,
        now: Duration,
        server: &ServerId,
        wanted: u32,
        reserve: u32,
        term: Term,
    ) -> Result<Grant> {
        self.check_pause(now);
        // The borrower counts the term that it asked for, so a longer one must not be shortened.
        let length = self.settings.length(term);
        if length > self.settings.max_term {
            return Err(Report::new(Error::TermTooLong));
        }
        if !self.confirmed {
            return Err(Report::new(Error::Paused));
        }
        let idle = self.usage(now, server).free_own().saturating_sub(reserve);
        let slots = idle.min(wanted);
        if slots == 0 {
            return Err(Report::new(Error::NoIdleSlot));
        }
        self.next += 1;
        self.lent.insert(
            self.next,
            Lent {
                server: server.clone(),
                slots,
                term,
                until: now + length,
            },
        );
        Ok(Grant {
            loan: self.next,
            slots,
        })
    }

    /// Extends a loan that has not ended at the lender.
    pub fn extend(&mut self, now: Duration, loan: u64) -> Result<()> {
        let lent = self.lent.get_mut(&loan).filter(|l| now < l.until);
        let lent = lent.ok_or_else(|| Report::new(Error::UnknownLoan))?;
        if lent.term != Term::Renewable {
            return Err(Report::new(Error::FixedTerm));
        }
        lent.until = lent.until.max(now + self.settings.term);
        Ok(())
    }

    /// The borrower has returned a loan early.
    pub fn take_back(&mut self, loan: u64) {
        self.lent.remove(&loan);
    }

    /// Accepts the reply to a request; call at most once per request.
    pub fn borrow(&mut self, now: Duration, request: &LoanRequest, grant: Grant) -> Result<u64> {
        let until = request.sent + self.settings.length(request.term);
        if now + self.settings.margin >= until {
            return Err(Report::new(Error::LeaseEnded)).attach(request.server.clone());
        }
        self.next += 1;
        let key = self.next;
        self.borrowed.insert(
            key,
            Borrowed {
                loan: grant.loan,
                server: request.server.clone(),
                slots: grant.slots,
                term: request.term,
                until,
                used: false,
            },
        );
        Ok(key)
    }

    /// Whether a loan from a lender still runs at this borrower.
    pub fn has_loan(&self, server: &ServerId, loan: u64) -> bool {
        let mut loans = self.borrowed.values();
        loans.any(|b| b.loan == loan && b.server == *server)
    }

    /// Loans in use that should be extended, because less than half of the term is left.
    pub fn renewals(&self, now: Duration) -> Vec<Renewal> {
        let half = self.settings.term / 2;
        let due = self.borrowed.iter().filter(|(key, b)| {
            let in_use = self.permits_of(&b.server).any(|l| *l == Some(**key));
            in_use && b.term == Term::Renewable && b.until.saturating_sub(now) <= half
        });
        due.map(|(key, b)| Renewal {
            key: *key,
            loan: b.loan,
            server: b.server.clone(),
        })
        .collect()
    }

    /// The lender has extended a loan; `sent` is when the extension was requested.
    pub fn extended(&mut self, key: u64, sent: Duration) -> Result<()> {
        let loan = self.borrowed.get_mut(&key);
        let loan = loan.ok_or_else(|| Report::new(Error::UnknownLoan))?;
        if loan.term != Term::Renewable {
            return Err(Report::new(Error::FixedTerm));
        }
        loan.until = loan.until.max(sent + self.settings.term);
        Ok(())
    }

    /// Gives up idle loans; returns the server and the lender's loan number of each. While
    /// requests wait, it gives up only those with a fixed term whose request has ended.
    pub fn give_back(&mut self, waiting: bool) -> Vec<(ServerId, u64)> {
        let in_use: Vec<u64> = self.permits.values().copied().flatten().collect();
        let keep = |key: &u64, b: &Borrowed| {
            in_use.contains(key) || waiting && (b.term == Term::Renewable || !b.used)
        };
        let (kept, idle) = std::mem::take(&mut self.borrowed)
            .into_iter()
            .partition(|(key, b)| keep(key, b));
        self.borrowed = kept;
        idle.into_values().map(|b| (b.server, b.loan)).collect()
    }
}
