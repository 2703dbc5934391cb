//! Leader election: vote requests, votes and stepping down.

use admission::interface::Timestamp;
use membership::Name;

use super::{Event, Participant};
use crate::leader::LeaderState;
use crate::message::{HolderId, Payload, RejectReason, RequestId, Vote, VoteRequest};
use crate::splitmix::splitmix64_unit;
use crate::voter::Voter;

/// The number of vote request rounds without a majority after which a candidate steps down, which
/// releases the votes that it holds.
const MAX_VOTE_ROUNDS: u32 = 3;
/// The delay, in renewal intervals, between the times at which consecutive voters become
/// candidates. It is also the longest delay after which a holder that was redirected sends its next
/// request.
pub(super) const STAGGER_RENEWALS: f64 = 0.5;
/// The number of renewal intervals between two rounds of vote requests.
const RENEWALS_BETWEEN_VOTE_ROUNDS: f64 = 1.0;
/// The shortest time, in renewal intervals, between stepping down and the next candidacy.
const MIN_BACKOFF_RENEWALS: f64 = 1.0;
/// The range of the random delay, in renewal intervals, that is added to [`MIN_BACKOFF_RENEWALS`].
const BACKOFF_JITTER_RENEWALS: f64 = 2.0;
/// Keeps the random numbers of the backoff jitter apart from other random numbers of the same seed.
const BACKOFF_JITTER_SALT: u64 = 0x5a5a;

impl Participant {
    /// Becomes a candidate, renews the votes or steps down, whichever is due at `now`.
    pub(super) fn tick_election(&mut self, now: Timestamp) {
        let Some(voter) = &self.voter else { return };
        if self.leadership.is_none() {
            if now >= self.candidacy_due(voter) {
                self.leadership = Some(LeaderState::candidate(voter.highest_term() + 1));
                self.vote_rounds = 0;
                self.request_votes(now);
            }
            return;
        }
        if now < self.next_vote_round {
            return;
        }
        if !self.is_leader(now) && self.vote_rounds >= MAX_VOTE_ROUNDS {
            self.step_down(now);
        } else {
            self.request_votes(now);
        }
    }

    /// The time at which this gateway becomes a candidate unless it votes for another gateway
    /// first. The voters' times are staggered in the order of their names so that they do not split
    /// the votes.
    pub(super) fn candidacy_due(&self, voter: &Voter) -> Timestamp {
        let rank = self
            .config
            .voters
            .iter()
            .position(|name| *name == self.id.name)
            .unwrap_or(0);
        let position = rank as f64 + splitmix64_unit(self.seed, voter.highest_term());
        self.renewals_after(voter.vote_available_from(), STAGGER_RENEWALS * position)
            .max(self.next_vote_round)
    }

    /// The candidate that holds this gateway's vote, or `None` if the vote is free or held by this
    /// gateway itself.
    pub(super) fn other_candidate_voted_for(&self, now: Timestamp) -> Option<&Name> {
        let candidate = self.voter.as_ref()?.voted_for(now)?;
        (candidate.name != self.id.name).then_some(&candidate.name)
    }

    /// Requests votes from all voters. This gateway's own vote is granted directly, without a
    /// message.
    fn request_votes(&mut self, now: Timestamp) {
        self.next_vote_round = self.renewals_after(now, RENEWALS_BETWEEN_VOTE_ROUNDS);
        self.vote_rounds += 1;
        let Some(term) = self.leadership.as_ref().map(|leadership| leadership.term) else {
            return;
        };
        for voter in self.config.voters.clone() {
            self.request_counter = self.request_counter.next();
            let request = self.request_counter;
            if let Some(leadership) = &mut self.leadership {
                leadership.record_vote_request(now, request, &voter);
            }
            if voter == self.id.name {
                self.vote_for_self(now, term, request);
            } else {
                self.send(&voter, Payload::VoteRequest(VoteRequest { term, request }));
            }
        }
    }

    fn vote_for_self(&mut self, now: Timestamp, term: u64, request: RequestId) {
        let Some(voter) = &mut self.voter else { return };
        if voter.grant_vote(now, &self.id, term, &self.config) {
            let name = self.id.name.clone();
            self.record_vote(now, &name, request);
        }
    }

    fn record_vote(&mut self, now: Timestamp, voter: &Name, request: RequestId) {
        let was_leader = self.is_leader(now);
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        leadership.record_vote(now, voter, request, &self.config);
        let term = leadership.term;
        if !was_leader && self.is_leader(now) {
            self.vote_rounds = 0;
            self.record_event(Event::BecameLeader { term });
            // The new leader needs a lease of its own, so it requests one at once instead of at its
            // next renewal.
            self.holder.request_no_later_than(now);
        }
    }

    /// Ends the candidacy or leadership and tells the other voters, so that they may vote for
    /// another candidate at once.
    pub(super) fn step_down(&mut self, now: Timestamp) {
        let Some(leadership) = self.leadership.take() else {
            return;
        };
        let term = leadership.term;
        for voter in self.config.voters.clone() {
            if voter != self.id.name {
                self.send(&voter, Payload::StepDown { term });
            }
        }
        if let Some(voter) = &mut self.voter {
            voter.release(now, &self.id, term);
        }
        let jitter = splitmix64_unit(self.seed, term ^ BACKOFF_JITTER_SALT);
        let backoff = MIN_BACKOFF_RENEWALS + BACKOFF_JITTER_RENEWALS * jitter;
        self.next_vote_round = self.renewals_after(now, backoff);
    }

    pub(super) fn on_vote_request(
        &mut self,
        now: Timestamp,
        candidate: &HolderId,
        request: VoteRequest,
    ) -> Result<(), RejectReason> {
        let Some(voter) = &mut self.voter else {
            return Err(RejectReason::NotAVoter);
        };
        let granted = voter.grant_vote(now, candidate, request.term, &self.config);
        let highest_term = voter.highest_term();
        if granted {
            self.holder.leader = Some(candidate.name.clone());
        }
        let vote = Vote {
            request: request.request,
            granted,
            highest_term,
        };
        self.send(&candidate.name, Payload::Vote(vote));
        Ok(())
    }

    pub(super) fn on_vote(&mut self, now: Timestamp, from: &Name, vote: Vote) {
        if vote.granted {
            self.record_vote(now, from, vote.request);
        } else {
            self.on_vote_denied(vote.highest_term);
        }
    }

    /// Handles a denied vote. The voter knows of `highest_term`, so the candidacy moves on to the
    /// term after it; voters that already voted for this gateway renew their votes for the higher
    /// term.
    fn on_vote_denied(&mut self, highest_term: u64) {
        let Some(voter) = &mut self.voter else { return };
        voter.observe_term(highest_term);
        let next_term = voter.highest_term() + 1;
        if let Some(leadership) = &mut self.leadership
            && leadership.term <= highest_term
        {
            debug_assert!(
                leadership.term <= next_term,
                "a candidacy never moves to a lower term"
            );
            leadership.term = next_term;
        }
    }

    pub(super) fn on_step_down(&mut self, now: Timestamp, from: &HolderId, term: u64) {
        if let Some(voter) = &mut self.voter {
            voter.release(now, from, term);
        }
        if self.holder.leader.as_ref() == Some(&from.name) {
            self.holder.leader = None;
        }
    }
}
