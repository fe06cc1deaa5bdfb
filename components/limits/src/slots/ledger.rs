//! Accounts for the slots that an entry VM owns, lends and borrows.

use std::collections::BTreeMap;
use std::time::Duration;

use config::{Class, Generation, ServerId};
use error_stack::{Report, ResultExt as _};

use super::error::{Error, Result};
use super::grant::Grant;
use super::split::Quotas;
use super::terms::{LoanRequest, Settings, Term};

/// A borrowed loan that the lender should be asked to extend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// Key of the loan at the borrower.
    pub key: u64,
    /// Number of the loan at the lender.
    pub loan: u64,
    pub server: ServerId,
}

/// Permission to have one request in flight at a server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Permit {
    pub server: ServerId,
    /// Number of the permit, unique at this VM.
    pub number: u64,
}

/// Slots of one server at this VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Own slots.
    pub quota: u32,
    /// Own slots in use.
    pub own_in_use: u32,
    /// Own slots lent to others.
    pub lent: u32,
    /// Borrowed slots that are in use or may still be taken.
    pub borrowed: u32,
    /// Borrowed slots in use.
    pub borrowed_in_use: u32,
}

impl Usage {
    /// Own and borrowed slots that new requests may take.
    pub fn free(&self) -> u32 {
        self.free_own() + self.borrowed.saturating_sub(self.borrowed_in_use)
    }

    /// Own slots that new requests may take.
    pub fn free_own(&self) -> u32 {
        self.quota.saturating_sub(self.own_in_use + self.lent)
    }
}

#[derive(Debug)]
struct LentLoan {
    server: ServerId,
    slots: u32,
    term: Term,
    expires_at: Duration,
}

#[derive(Debug)]
struct BorrowedLoan {
    /// Number of the loan at the lender.
    loan: u64,
    server: ServerId,
    slots: u32,
    term: Term,
    expires_at: Duration,
    /// Whether a request has used a slot of the loan.
    was_used: bool,
}

/// Slots that one entry VM owns, lends and borrows.
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    /// Newest adopted generation.
    generation: Option<Generation>,
    /// Newest generation that all live peers have settled; its increases are in force.
    in_force: Option<Generation>,
    /// Quotas under the newest configuration.
    target_quotas: Quotas,
    /// Quotas in force: the smaller of the old and the new ones until all live peers have settled.
    quotas: Quotas,
    /// Permits in use, each with the key of its borrowed loan, or `None` on an own slot.
    permits: BTreeMap<Permit, Option<u64>>,
    lent: BTreeMap<u64, LentLoan>,
    borrowed: BTreeMap<u64, BorrowedLoan>,
    last_number: u64,
    last_tick: Duration,
    confirmed: bool,
}

impl Ledger {
    /// Creates a ledger without slots, which grants no permits until [`Ledger::adopt`] and
    /// [`Ledger::confirm`].
    pub fn new(settings: Settings, now: Duration) -> Self {
        Ledger {
            last_number: settings.number_offset,
            settings,
            generation: None,
            in_force: None,
            target_quotas: Quotas::new(),
            quotas: Quotas::new(),
            permits: BTreeMap::new(),
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            last_tick: now,
            confirmed: false,
        }
    }

    /// Adopts the quotas of a newer generation. Reductions are in force at once; increases only
    /// after [`Ledger::peers_settled`], because a peer may still use the slots under its older
    /// quotas.
    pub fn adopt(&mut self, generation: Generation, target_quotas: Quotas) {
        if self.generation.is_some_and(|newest| generation <= newest) {
            return;
        }
        self.generation = Some(generation);
        let mut quotas = target_quotas.clone();
        for (server, quota) in &mut quotas {
            *quota = (*quota).min(self.quotas.get(server).copied().unwrap_or(0));
        }
        self.quotas = quotas;
        self.target_quotas = target_quotas;
    }

    pub fn generation(&self) -> Option<Generation> {
        self.generation
    }

    /// True when the own slots in use or lent fit the quotas in force, so that this VM may announce
    /// the generation as settled.
    pub fn settled(&self) -> bool {
        let servers = self.permits.keys().map(|p| &p.server);
        let servers = servers.chain(self.lent.values().map(|l| &l.server));
        servers.into_iter().all(|server| {
            // Borrowed slots count against the quota of the lender.
            let usage = self.usage(self.last_tick, server);
            usage.own_in_use + usage.lent <= usage.quota
        })
    }

    /// Records that all live peers have announced this generation as settled and count this VM.
    /// Increases come into force. A starting VM has no slots before.
    pub fn peers_settled(&mut self, generation: Generation) {
        if self.generation == Some(generation) {
            self.quotas.clone_from(&self.target_quotas);
            self.in_force = Some(generation);
        }
    }

    /// Adopts the quotas of the same configuration with another set of gone VMs. Reductions (a VM
    /// has come back) are in force at once. So are increases (a VM is listed as gone and has been
    /// silent for 5 s), unless peers have yet to settle the generation.
    pub fn reassign(&mut self, target_quotas: Quotas) {
        for (server, quota) in &target_quotas {
            let old = self.target_quotas.get(server).copied().unwrap_or(0);
            let Some(in_force) = self.quotas.get_mut(server) else {
                continue;
            };
            if self.in_force == self.generation {
                *in_force += quota.saturating_sub(old);
            }
            *in_force = (*in_force).min(*quota);
        }
        self.target_quotas = target_quotas;
    }

    /// Advances time: expires loans, borrowed ones [`Settings::cancel_margin`] early, and detects
    /// pauses. Returns the permits on expired borrowed loans; the caller must cancel their requests
    /// now and then release the permits.
    pub fn tick(&mut self, now: Duration) -> Vec<Permit> {
        self.detect_pause(now);
        self.last_tick = self.last_tick.max(now);
        self.lent.retain(|_, l| now < l.expires_at);
        let margin = self.settings.cancel_margin;
        let loan_expired = |key: &u64| {
            let loan = self.borrowed.get(key);
            loan.is_none_or(|b| now + margin >= b.expires_at)
        };
        let on_expired_loan = |loan: &Option<u64>| loan.as_ref().is_some_and(loan_expired);
        let expired = self
            .permits
            .iter()
            .filter(|(_, loan)| on_expired_loan(loan));
        let expired = expired.map(|(permit, _)| permit.clone()).collect();
        self.borrowed.retain(|_, b| now + margin < b.expires_at);
        expired
    }

    fn detect_pause(&mut self, now: Duration) {
        if now.saturating_sub(self.last_tick) > self.settings.pause_limit {
            self.confirmed = false;
        }
    }

    /// Records that the peers count this VM as present, or that the VM list names no peers.
    pub fn confirm(&mut self, now: Duration) {
        self.last_tick = self.last_tick.max(now);
        self.confirmed = true;
    }

    /// Slots of a server at this VM. Idle borrowed slots count while new requests may take them.
    pub fn usage(&self, now: Duration, server: &ServerId) -> Usage {
        let mut usage = Usage {
            quota: self.quotas.get(server).copied().unwrap_or(0),
            ..Usage::default()
        };
        for loan in self.permits_of(server) {
            match loan {
                Some(_) => usage.borrowed_in_use += 1,
                None => usage.own_in_use += 1,
            }
        }
        let lent = self.lent.values().filter(|l| l.server == *server);
        usage.lent = lent.map(|l| l.slots).sum();
        let borrowed = self.borrowed.iter().filter(|(_, b)| b.server == *server);
        usage.borrowed = borrowed
            .map(|(key, b)| {
                if self.accepts_requests(now, b) {
                    b.slots
                } else {
                    self.loan_in_use(*key, server)
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

    /// Takes a slot for a request with this deadline. Binding work must not be cancelled when a
    /// loan ends, so it uses borrowed slots only under a fixed term that outlasts its deadline. All
    /// classes prefer borrowed slots to own ones.
    pub fn acquire(
        &mut self,
        now: Duration,
        server: &ServerId,
        class: Class,
        deadline: Duration,
    ) -> Result<Permit> {
        self.detect_pause(now);
        if !self.confirmed {
            return Err(Report::new(Error::Paused));
        }
        if !self.quotas.contains_key(server) {
            return Err(Report::new(Error::UnknownServer).attach(server.clone()));
        }
        let loan = match class {
            Class::Binding => self.loans_for_binding(now, server, deadline).next(),
            Class::Idempotent | Class::Deferrable => self.loans_with_free_slot(now, server).next(),
        };
        if loan.is_none() && self.usage(now, server).free_own() == 0 {
            return Err(Report::new(Error::NoIdleSlot));
        }
        if let Some(loan) = loan.and_then(|key| self.borrowed.get_mut(&key)) {
            loan.was_used = true;
        }
        self.last_number += 1;
        let permit = Permit {
            server: server.clone(),
            number: self.last_number,
        };
        self.permits.insert(permit.clone(), loan);
        Ok(permit)
    }

    /// Number of slots that binding work with this deadline may take.
    pub fn free_for_binding(&self, now: Duration, server: &ServerId, deadline: Duration) -> u32 {
        let fixed = self.loans_for_binding(now, server, deadline);
        let fixed = fixed.map(|key| self.borrowed[&key].slots - self.loan_in_use(key, server));
        self.usage(now, server).free_own() + fixed.sum::<u32>()
    }

    /// Tells whether a request may still be sent on its slot: this process is confirmed since its
    /// last pause, and the loan of a borrowed slot has not expired.
    pub fn may_send(&mut self, now: Duration, permit: &Permit) -> bool {
        self.detect_pause(now);
        let runs = |key: &u64| {
            let loan = self.borrowed.get(key);
            loan.is_some_and(|b| now + self.settings.cancel_margin < b.expires_at)
        };
        let loan = self.permits.get(permit);
        self.confirmed && loan.is_some_and(|loan| loan.as_ref().is_none_or(runs))
    }

    /// Keys of the borrowed loans with a slot that a new request may take.
    fn loans_with_free_slot(&self, now: Duration, server: &ServerId) -> impl Iterator<Item = u64> {
        let usable = self.borrowed.iter().filter(move |(key, b)| {
            b.server == *server
                && self.accepts_requests(now, b)
                && self.loan_in_use(**key, server) < b.slots
        });
        usable.map(|(key, _)| *key)
    }

    /// Keys of the borrowed loans with a free slot and a fixed term that outlasts the deadline.
    fn loans_for_binding(
        &self,
        now: Duration,
        server: &ServerId,
        deadline: Duration,
    ) -> impl Iterator<Item = u64> {
        let end = deadline + self.settings.deadline_margin;
        self.loans_with_free_slot(now, server).filter(move |key| {
            let loan = &self.borrowed[key];
            matches!(loan.term, Term::Fixed(_)) && end <= loan.expires_at
        })
    }

    /// New requests start only while more than half of a renewable term is left, so that the loan
    /// can be extended in time.
    fn accepts_requests(&self, now: Duration, loan: &BorrowedLoan) -> bool {
        loan.expires_at.saturating_sub(now) > self.settings.term / 2
    }

    /// Number of slots of a borrowed loan that are in use.
    fn loan_in_use(&self, key: u64, server: &ServerId) -> u32 {
        let used = self.permits_of(server).filter(|l| **l == Some(key));
        used.count() as u32
    }

    /// Releases a slot after its request has ended or was cancelled.
    pub fn release(&mut self, permit: &Permit) {
        self.permits.remove(permit);
    }

    /// Lends up to `wanted` free own slots but keeps `reserve` of them. At the lender the term
    /// starts with this reply, later than at the borrower, so the loan expires at the borrower
    /// first.
    pub fn lend(
        &mut self,
        now: Duration,
        server: &ServerId,
        wanted: u32,
        reserve: u32,
        term: Term,
    ) -> Result<Grant> {
        self.detect_pause(now);
        // The borrower assumes the term that it requested, so a term above the limit is refused and
        // not shortened.
        let length = self.settings.duration_of(term);
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
        self.last_number += 1;
        self.lent.insert(
            self.last_number,
            LentLoan {
                server: server.clone(),
                slots,
                term,
                expires_at: now + length,
            },
        );
        Ok(Grant {
            loan: self.last_number,
            slots,
        })
    }

    /// Extends a loan as its lender, unless it has expired.
    pub fn extend(&mut self, now: Duration, loan: u64) -> Result<()> {
        let lent = self.lent.get_mut(&loan).filter(|l| now < l.expires_at);
        let lent = lent.ok_or_else(|| Report::new(Error::UnknownLoan))?;
        if lent.term != Term::Renewable {
            return Err(Report::new(Error::FixedTerm));
        }
        lent.expires_at = lent.expires_at.max(now + self.settings.term);
        Ok(())
    }

    /// Records, as the lender, that the borrower has returned a loan early.
    pub fn record_return(&mut self, loan: u64) {
        self.lent.remove(&loan);
    }

    /// Adds the loan of a lender's reply and returns its key at this VM. Call at most once per
    /// request.
    pub fn borrow(&mut self, now: Duration, request: &LoanRequest, grant: Grant) -> Result<u64> {
        let expires_at = request.sent + self.settings.duration_of(request.term);
        if now + self.settings.cancel_margin >= expires_at {
            return Err(Report::new(Error::LeaseEnded)).attach(request.server.clone());
        }
        self.last_number += 1;
        let key = self.last_number;
        self.borrowed.insert(
            key,
            BorrowedLoan {
                loan: grant.loan,
                server: request.server.clone(),
                slots: grant.slots,
                term: request.term,
                expires_at,
                was_used: false,
            },
        );
        Ok(key)
    }

    /// Tells whether a borrowed loan is still held, by the loan number of its lender.
    pub fn has_loan(&self, server: &ServerId, loan: u64) -> bool {
        let mut loans = self.borrowed.values();
        loans.any(|b| b.loan == loan && b.server == *server)
    }

    /// Renewable loans in use that should be extended, because at most half of the term is left.
    pub fn renewals(&self, now: Duration) -> Vec<Renewal> {
        let half = self.settings.term / 2;
        let due = self.borrowed.iter().filter(|(key, b)| {
            let in_use = self.permits_of(&b.server).any(|l| *l == Some(**key));
            in_use && b.term == Term::Renewable && b.expires_at.saturating_sub(now) <= half
        });
        due.map(|(key, b)| Renewal {
            key: *key,
            loan: b.loan,
            server: b.server.clone(),
        })
        .collect()
    }

    /// Records that the lender has extended a borrowed loan; `sent` is when this VM requested the
    /// extension.
    pub fn record_extension(&mut self, key: u64, sent: Duration) -> Result<()> {
        let loan = self.borrowed.get_mut(&key);
        let loan = loan.ok_or_else(|| Report::new(Error::UnknownLoan))?;
        if loan.term != Term::Renewable {
            return Err(Report::new(Error::FixedTerm));
        }
        loan.expires_at = loan.expires_at.max(sent + self.settings.term);
        Ok(())
    }

    /// Removes idle borrowed loans, for the caller to return to their lenders; gives the server and
    /// the lender's loan number of each. While requests are `waiting`, only those with a fixed term
    /// whose request has ended are removed.
    pub fn return_idle(&mut self, waiting: bool) -> Vec<(ServerId, u64)> {
        let in_use: Vec<u64> = self.permits.values().copied().flatten().collect();
        let keep = |key: &u64, b: &BorrowedLoan| {
            in_use.contains(key) || waiting && (b.term == Term::Renewable || !b.was_used)
        };
        let (kept, idle) = std::mem::take(&mut self.borrowed)
            .into_iter()
            .partition(|(key, b)| keep(key, b));
        self.borrowed = kept;
        idle.into_values().map(|b| (b.server, b.loan)).collect()
    }
}
