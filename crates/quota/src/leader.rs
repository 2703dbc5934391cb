//! A candidate or leader: the votes that it has, until when they make it the leader, and its lease ledger.

use std::collections::BTreeMap;

use admission::interface::Timestamp;
use membership::Name;

use crate::amount::Amount;
use crate::config::{Config, MAX_VOTERS};
use crate::lease_ledger::LeaseLedger;
use crate::message::{HolderId, LeaseRequest, RequestId};

/// The most vote requests whose answers are awaited: those of some rounds.
const MAX_OUTSTANDING: usize = 4 * MAX_VOTERS;

/// A vote request that has no answer yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OutstandingVoteRequest {
    voter: Name,
    sent: Timestamp,
}

/// The state of a gateway that asks for votes or was elected.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaderState {
    /// The term that it asks votes for.
    pub term: u64,
    /// Until when each vote can be relied on: counted from before it was asked for, and shortened by clock drift.
    votes: BTreeMap<Name, Timestamp>,
    outstanding: BTreeMap<RequestId, OutstandingVoteRequest>,
    elected: Option<Timestamp>,
    ledger: LeaseLedger,
}

impl LeaderState {
    /// A candidate without votes.
    #[must_use]
    pub fn candidate(term: u64) -> Self {
        LeaderState {
            term,
            votes: BTreeMap::new(),
            outstanding: BTreeMap::new(),
            elected: None,
            ledger: LeaseLedger::default(),
        }
    }

    /// A vote request goes to a voter now.
    pub fn record_vote_request(&mut self, now: Timestamp, request: RequestId, voter: &Name) {
        let outstanding = OutstandingVoteRequest {
            voter: voter.clone(),
            sent: now,
        };
        self.outstanding.insert(request, outstanding);
        while self.outstanding.len() > MAX_OUTSTANDING {
            self.outstanding.pop_first();
        }
    }

    /// Counts a vote, new or renewed. One that answers no outstanding request is ignored.
    pub fn record_vote(
        &mut self,
        now: Timestamp,
        voter: &Name,
        request: RequestId,
        config: &Config,
    ) {
        let Some(outstanding) = self.outstanding.remove(&request) else {
            return;
        };
        if outstanding.voter != *voter {
            return;
        }
        let expires = outstanding.sent + config.shortened_by_drift(config.term_duration);
        let vote = self.votes.entry(voter.clone()).or_insert(expires);
        *vote = (*vote).max(expires);
        if self.elected.is_none() && self.has_majority(now, config) {
            self.elected = Some(now);
        }
    }

    fn has_majority(&self, now: Timestamp, config: &Config) -> bool {
        let live_votes = self.votes.values().filter(|expires| now < **expires);
        live_votes.count() >= config.majority()
    }

    /// When it was elected, as long as it is the leader.
    #[must_use]
    pub fn elected(&self, now: Timestamp, config: &Config) -> Option<Timestamp> {
        self.elected.filter(|_| self.has_majority(now, config))
    }

    /// It was elected and is not the leader any more: another may be, so that its ledger is void.
    #[must_use]
    pub fn is_deposed(&self, now: Timestamp, config: &Config) -> bool {
        self.elected.is_some() && !self.has_majority(now, config)
    }

    /// What it leases to a holder from now on, by budget; none where it is not the leader, or the request is not to be
    /// answered.
    pub fn grant(
        &mut self,
        now: Timestamp,
        holder: &HolderId,
        request: &LeaseRequest,
        config: &Config,
    ) -> Option<Vec<Amount>> {
        let elected = self.elected(now, config)?;
        // Until then, leases of an earlier leader may be in force that are not in the ledger.
        let ledger_complete_from = if config.fault_injection.skip_lease_wait {
            elected
        } else {
            elected + config.lease_duration
        };
        self.ledger
            .grant(now, holder, request, ledger_complete_from, config)
    }

    /// The leases that it granted.
    #[must_use]
    pub fn ledger(&self) -> &LeaseLedger {
        &self.ledger
    }

    /// Carries the ledger over to changed budgets.
    pub fn reconfigure(&mut self, old: &Config, new: &Config) {
        self.ledger.reconfigure(old, new);
    }
}
