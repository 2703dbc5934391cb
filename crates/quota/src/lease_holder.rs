//! The holder's side of the lease protocol: the lease that a gateway has, and the request that it waits to be answered.

use admission::interface::{TimeDelta, Timestamp};
use membership::Name;

use crate::amount::Amount;
use crate::config::{Budget, Config};
use crate::message::{RejectReason, RequestId};

/// After so many unanswered requests a holder looks for another leader.
const MAX_UNANSWERED: u32 = 2;

/// What a leader granted, by the holder's own order of budgets.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// The request that it was granted for.
    pub request: RequestId,
    /// The term of the leader that granted it.
    pub term: u64,
    /// What may be spent a second beyond the guaranteed minimum, by budget.
    pub amounts: Vec<Amount>,
    /// By the holder's own steady clock, counted from when it sent the request.
    pub expires: Timestamp,
}

/// A grant as it was received, by the holder's own order of budgets.
#[derive(Clone, Debug)]
pub struct ReceivedGrant {
    /// The request that it answers.
    pub request: RequestId,
    /// The leader's term.
    pub term: u64,
    /// What is leased of each budget.
    pub amounts: Vec<Amount>,
}

/// A request that has no answer yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OutstandingRequest {
    sent: Timestamp,
    to: Name,
}

/// The state of a holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    last_request: RequestId,
    outstanding: Option<OutstandingRequest>,
    lease: Option<Lease>,
    /// The gateway that it takes for the leader.
    pub leader: Option<Name>,
    /// Requests to that leader without an answer.
    unanswered: u32,
    /// When the next request is due.
    pub next_request: Timestamp,
}

impl LeaseHolder {
    /// A holder without a lease.
    #[must_use]
    pub fn new(first_request: Timestamp) -> Self {
        LeaseHolder {
            last_request: RequestId::default(),
            outstanding: None,
            lease: None,
            leader: None,
            unanswered: 0,
            next_request: first_request,
        }
    }

    /// The lease that it has at `now`. Nothing but this comparison ends the lease of a process that was suspended.
    #[must_use]
    pub fn lease(&self, now: Timestamp) -> Option<&Lease> {
        self.lease.as_ref().filter(|lease| now < lease.expires)
    }

    /// The last lease, expired or not.
    #[must_use]
    pub fn last_lease(&self) -> Option<&Lease> {
        self.lease.as_ref()
    }

    /// What is leased to it of a budget at `now`.
    #[must_use]
    pub fn leased(&self, now: Timestamp, budget: usize) -> Amount {
        self.lease(now)
            .map_or(Amount::ZERO, |lease| lease.amounts[budget])
    }

    /// The next request goes no later than this.
    pub fn request_no_later_than(&mut self, latest: Timestamp) {
        self.next_request = self.next_request.min(latest);
    }

    /// A new request goes to this gateway. Answers to any earlier request are rejected from now on.
    pub fn start_request(&mut self, now: Timestamp, to: Name) -> RequestId {
        self.last_request = self.last_request.next();
        if self.outstanding.is_some() {
            self.unanswered += 1;
        }
        self.outstanding = Some(OutstandingRequest { sent: now, to });
        self.last_request
    }

    /// Forgets a leader that leaves requests unanswered: any voter may know another.
    pub fn forget_silent_leader(&mut self) {
        if self.unanswered >= MAX_UNANSWERED {
            self.leader = None;
            self.unanswered = 0;
        }
    }

    /// A voter that was asked names the leader as it knows it. Where that is news, or it knows none, the next request goes
    /// after `retry_after` at the latest.
    pub fn accept_redirect(
        &mut self,
        now: Timestamp,
        from: &Name,
        leader: Option<Name>,
        retry_after: TimeDelta,
    ) {
        let asked_sender = self
            .outstanding
            .as_ref()
            .is_some_and(|outstanding| outstanding.to == *from);
        if !asked_sender {
            return;
        }
        self.outstanding = None;
        self.unanswered = 0;
        if self.leader != leader || leader.is_none() {
            self.request_no_later_than(now + retry_after);
        }
        self.leader = leader;
    }

    /// Replaces the lease by what was granted.
    ///
    /// # Errors
    /// [`RejectReason::Unsolicited`] where it does not answer the outstanding request, [`RejectReason::Stale`] where the
    /// lease has expired on the way.
    pub fn accept_grant(
        &mut self,
        now: Timestamp,
        from: &Name,
        grant: &ReceivedGrant,
        config: &Config,
    ) -> Result<(), RejectReason> {
        let sent = self
            .answered_request_sent(now, from, grant.request, config)
            .ok_or(RejectReason::Unsolicited)?;
        let expires = sent + config.shortened_by_drift(config.lease_duration);
        self.outstanding = None;
        self.unanswered = 0;
        if now >= expires {
            return Err(RejectReason::Stale);
        }
        let amounts = self.new_amounts(now, &grant.amounts, config);
        self.lease = Some(Lease {
            request: grant.request,
            term: grant.term,
            amounts,
            expires,
        });
        Ok(())
    }

    /// When the request was sent that a grant answers; none where it answers none that is outstanding.
    fn answered_request_sent(
        &self,
        now: Timestamp,
        from: &Name,
        request: RequestId,
        config: &Config,
    ) -> Option<Timestamp> {
        let answered = self
            .outstanding
            .as_ref()
            .filter(|outstanding| outstanding.to == *from && request == self.last_request);
        match answered {
            Some(outstanding) => Some(outstanding.sent),
            None if config.fault_injection.accept_stale_grants => Some(now),
            None => None,
        }
    }

    fn new_amounts(&self, now: Timestamp, granted: &[Amount], config: &Config) -> Vec<Amount> {
        if config.fault_injection.keep_revoked
            && let Some(lease) = self.lease(now)
        {
            let both = lease.amounts.iter().zip(granted);
            return both.map(|(held, granted)| *held.max(granted)).collect();
        }
        // The leader's file may state a larger capacity than this gateway's own.
        let budgets = granted.iter().zip(&config.budgets);
        budgets
            .map(|(amount, budget)| {
                let leasable = config.leasable(budget.capacity, budget.guaranteed);
                (*amount).min(leasable)
            })
            .collect()
    }

    /// It has no lease from now on.
    pub fn release(&mut self) {
        self.lease = None;
    }

    /// Carries the lease over to changed budgets, no more of each than can be leased now.
    pub fn reconfigure(&mut self, old: &Config, new: &Config) {
        let Some(lease) = &mut self.lease else { return };
        let carried_over = |(budget, old_index): (&Budget, Option<usize>)| {
            let held = old_index.map_or(Amount::ZERO, |index| lease.amounts[index]);
            held.min(new.leasable(budget.capacity, budget.guaranteed))
        };
        lease.amounts = new
            .budgets
            .iter()
            .zip(new.indexes_in(old))
            .map(carried_over)
            .collect();
    }

    /// Checks that the lease is within what can be leased of each budget.
    ///
    /// # Panics
    /// It is not.
    pub fn check_invariants(&self, config: &Config) {
        let Some(lease) = &self.lease else { return };
        assert_eq!(
            lease.amounts.len(),
            config.budgets.len(),
            "a lease has an amount for each budget"
        );
        for (amount, budget) in lease.amounts.iter().zip(&config.budgets) {
            assert!(
                *amount <= config.leasable(budget.capacity, budget.guaranteed),
                "a lease of {} exceeds what can be leased of it",
                budget.name()
            );
        }
    }
}
