//! The state of a candidate or leader: its votes with their expiration times, and its lease ledger.

use std::collections::BTreeMap;

use admission::interface::Timestamp;
use membership::Name;

use crate::amount::Amount;
use crate::config::{Config, MAX_VOTERS};
use crate::lease_ledger::LeaseLedger;
use crate::message::{HolderId, LeaseRequest, RequestId};

/// The largest number of vote requests that are remembered until they are answered, enough for
/// several rounds.
const MAX_OUTSTANDING_VOTE_REQUESTS: usize = 4 * MAX_VOTERS;

/// A vote request that has not been answered yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OutstandingVoteRequest {
    voter: Name,
    sent: Timestamp,
}

/// The state of a candidate or leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaderState {
    /// The term for which it requests votes.
    pub term: u64,
    /// The expiration time of each voter's vote, counted from when the vote was requested and
    /// shortened by the clock drift bound.
    votes: BTreeMap<Name, Timestamp>,
    outstanding: BTreeMap<RequestId, OutstandingVoteRequest>,
    /// The time of the first majority, or `None` for a candidate that has not been elected.
    elected_at: Option<Timestamp>,
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
            elected_at: None,
            ledger: LeaseLedger::default(),
        }
    }

    /// Records that a vote request is sent to a voter at `now`. When too many requests are
    /// outstanding, the oldest is forgotten.
    pub fn record_vote_request(&mut self, now: Timestamp, request: RequestId, voter: &Name) {
        let outstanding = OutstandingVoteRequest {
            voter: voter.clone(),
            sent: now,
        };
        self.outstanding.insert(request, outstanding);
        while self.outstanding.len() > MAX_OUTSTANDING_VOTE_REQUESTS {
            self.outstanding.pop_first();
        }
    }

    /// Counts a new or renewed vote. A vote that does not answer an outstanding request is ignored.
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
        if self.elected_at.is_none() && self.has_majority(now, config) {
            self.elected_at = Some(now);
        }
    }

    fn has_majority(&self, now: Timestamp, config: &Config) -> bool {
        let live_votes = self.votes.values().filter(|expires| now < **expires);
        live_votes.count() >= config.majority()
    }

    /// The time of the election, or `None` if the gateway is not the leader at `now`.
    #[must_use]
    pub fn elected_at(&self, now: Timestamp, config: &Config) -> Option<Timestamp> {
        self.elected_at.filter(|_| self.has_majority(now, config))
    }

    /// Whether the gateway was elected and has lost its majority since. Another gateway may have
    /// been elected by then, so its ledger is void.
    #[must_use]
    pub fn is_deposed(&self, now: Timestamp, config: &Config) -> bool {
        self.elected_at.is_some() && !self.has_majority(now, config)
    }

    /// What a holder is leased in answer to a request, by budget. Returns `None` if the gateway is
    /// not the leader at `now` or the request must not be answered.
    pub fn grant(
        &mut self,
        now: Timestamp,
        holder: &HolderId,
        request: &LeaseRequest,
        config: &Config,
    ) -> Option<Vec<Amount>> {
        let elected_at = self.elected_at(now, config)?;
        // Before this time, leases of an earlier leader may be in force that the ledger does not
        // contain.
        let ledger_complete_from = if config.fault_injection.skip_lease_wait {
            elected_at
        } else {
            elected_at + config.lease_duration
        };
        self.ledger
            .grant(now, holder, request, ledger_complete_from, config)
    }

    /// The ledger of granted leases.
    #[must_use]
    pub fn ledger(&self) -> &LeaseLedger {
        &self.ledger
    }

    /// Carries the ledger over to changed budgets.
    pub fn reconfigure(&mut self, old: &Config, new: &Config) {
        self.ledger.reconfigure(old, new);
    }
}
