//! The holder's side of the lease protocol: the current lease and the outstanding request.

use admission::interface::{TimeDelta, Timestamp};
use membership::Name;

use crate::amount::Amount;
use crate::config::{Budget, Config};
use crate::message::{RejectReason, RequestId};

/// The number of unanswered requests after which a holder looks for another leader.
const MAX_UNANSWERED_REQUESTS: u32 = 2;

/// A lease. Amounts are in the order of the budgets in the holder's own configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// The request that the grant answered.
    pub request: RequestId,
    /// The term of the leader that granted it.
    pub term: u64,
    /// What may be spent per second beyond the guaranteed minimum, by budget.
    pub amounts: Vec<Amount>,
    /// The expiration time by the holder's own steady clock, counted from when the request was
    /// sent.
    pub expires: Timestamp,
}

/// A received grant. Amounts are in the order of the budgets in the holder's own configuration.
#[derive(Clone, Debug)]
pub struct ReceivedGrant {
    /// The request that it answers.
    pub request: RequestId,
    /// The term of the leader that sent it.
    pub term: u64,
    /// What is leased per second, by budget.
    pub amounts: Vec<Amount>,
}

/// A lease request that has not been answered yet.
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
    /// The presumed leader, or `None` if none is known.
    pub leader: Option<Name>,
    /// The number of requests in a row that were not answered.
    unanswered: u32,
    /// The time at which the next request is due.
    pub next_request: Timestamp,
}

impl LeaseHolder {
    /// A holder without a lease, whose first request is due at `first_request`.
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

    /// The lease in force at `now`, or `None`. In a process that was suspended, only this
    /// comparison reveals that the lease has expired.
    #[must_use]
    pub fn lease(&self, now: Timestamp) -> Option<&Lease> {
        self.lease.as_ref().filter(|lease| now < lease.expires)
    }

    /// The last lease, even if it has expired.
    #[must_use]
    pub fn last_lease(&self) -> Option<&Lease> {
        self.lease.as_ref()
    }

    /// What is leased of a budget per second at `now`; zero without a lease in force.
    #[must_use]
    pub fn leased(&self, now: Timestamp, budget: usize) -> Amount {
        self.lease(now)
            .map_or(Amount::ZERO, |lease| lease.amounts[budget])
    }

    /// Makes the next request due at `latest` unless it is due earlier.
    pub fn request_no_later_than(&mut self, latest: Timestamp) {
        self.next_request = self.next_request.min(latest);
    }

    /// Records that a new request is sent to `to`, and returns its number. Answers to earlier
    /// requests are rejected from now on.
    pub fn start_request(&mut self, now: Timestamp, to: Name) -> RequestId {
        self.last_request = self.last_request.next();
        if self.outstanding.is_some() {
            self.unanswered += 1;
        }
        self.outstanding = Some(OutstandingRequest { sent: now, to });
        self.last_request
    }

    /// Forgets a leader that did not answer several requests, so that the next request may go to any
    /// voter.
    pub fn forget_silent_leader(&mut self) {
        if self.unanswered >= MAX_UNANSWERED_REQUESTS {
            self.leader = None;
            self.unanswered = 0;
        }
    }

    /// Handles a redirect from the voter that received the outstanding request; other redirects are
    /// ignored. If the named leader is a different one, or none is named, the next request is due
    /// at most `retry_after` from now.
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

    /// Replaces the current lease with a granted one.
    ///
    /// # Errors
    /// Returns [`RejectReason::Unsolicited`] if the grant does not answer the outstanding request,
    /// and [`RejectReason::Stale`] if the lease expired in transit.
    pub fn accept_grant(
        &mut self,
        now: Timestamp,
        from: &Name,
        grant: &ReceivedGrant,
        config: &Config,
    ) -> Result<(), RejectReason> {
        let sent = self
            .answered_request_sent_at(now, from, grant.request, config)
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

    /// The time at which the answered request was sent, or `None` if the grant does not answer the
    /// outstanding request.
    fn answered_request_sent_at(
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

    /// The amounts of a new lease, limited to what this gateway's own configuration allows to be
    /// leased.
    fn new_amounts(&self, now: Timestamp, granted: &[Amount], config: &Config) -> Vec<Amount> {
        if config.fault_injection.keep_revoked
            && let Some(lease) = self.lease(now)
        {
            let held_and_granted = lease.amounts.iter().zip(granted);
            return held_and_granted
                .map(|(held, granted)| *held.max(granted))
                .collect();
        }
        // The capacity in the leader's configuration may be larger than in this gateway's own.
        let budgets = granted.iter().zip(&config.budgets);
        budgets
            .map(|(amount, budget)| {
                let leasable = config.leasable(budget.capacity, budget.guaranteed);
                (*amount).min(leasable)
            })
            .collect()
    }

    /// Gives up the current lease.
    pub fn release(&mut self) {
        self.lease = None;
    }

    /// Carries the lease over to changed budgets. Each amount is limited to what can be leased of
    /// the budget under the new configuration.
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

    /// Checks that the lease covers every budget and does not exceed what can be leased of it.
    ///
    /// # Panics
    /// Panics if either does not hold.
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
                "the lease of budget {} exceeds its leasable amount",
                budget.name()
            );
        }
    }
}
