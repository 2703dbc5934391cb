//! The election of the leader: asking for votes, voting, and stepping down.

use admission::interface::Timestamp;
use membership::Name;

use super::{Event, Participant};
use crate::leader::LeaderState;
use crate::message::{HolderId, Payload, RejectReason, RequestId, Vote, VoteRequest};
use crate::splitmix::splitmix64_unit;
use crate::voter::Voter;

/// A candidate that was not elected after so many rounds of vote requests steps down, so that its votes are free.
const MAX_VOTE_ROUNDS: u32 = 3;
/// Renewal intervals between the times at which two voters become candidates, and before a redirected holder asks again.
pub(super) const STAGGER_RENEWALS: f64 = 0.5;
/// Renewal intervals between two rounds of vote requests.
const RENEWALS_BETWEEN_VOTE_ROUNDS: f64 = 1.0;
/// Renewal intervals after stepping down before the gateway may be a candidate again: the first and a random part of the
/// second.
const MIN_BACKOFF_RENEWALS: f64 = 1.0;
const BACKOFF_JITTER_RENEWALS: f64 = 2.0;
/// Sets the counter of the backoff's jitter apart from others of the same seed.
const BACKOFF_JITTER_MASK: u64 = 0x5a5a;

impl Participant {
    /// Becomes a candidate, renews its votes, or gives up, as is due.
    pub(super) fn tick_election(&mut self, now: Timestamp) {
        let Some(voter) = &self.voter else { return };
        if self.leadership.is_none() {
            if now >= self.candidate_from(voter) {
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

    /// When it becomes a candidate, unless it votes for another before. Voters do so one after the other, in the order of
    /// their names, so that they don't split the votes.
    pub(super) fn candidate_from(&self, voter: &Voter) -> Timestamp {
        let rank = self
            .config
            .voters
            .iter()
            .position(|name| *name == self.id.name)
            .unwrap_or(0);
        let position = rank as f64 + splitmix64_unit(self.seed, voter.highest_term());
        self.renewals_after(voter.free_from(), STAGGER_RENEWALS * position)
            .max(self.next_vote_round)
    }

    /// The candidate that it voted for, where that is another gateway.
    pub(super) fn voted_for_another(&self, now: Timestamp) -> Option<&Name> {
        let candidate = self.voter.as_ref()?.voted_for(now)?;
        (candidate.name != self.id.name).then_some(&candidate.name)
    }

    /// Asks all voters for their votes, itself first-hand.
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
                self.vote_for_itself(now, term, request);
            } else {
                self.send(&voter, Payload::VoteRequest(VoteRequest { term, request }));
            }
        }
    }

    fn vote_for_itself(&mut self, now: Timestamp, term: u64, request: RequestId) {
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
            // It is a holder too, and need not wait until its own request is due.
            self.holder.request_no_later_than(now);
        }
    }

    /// It is neither leader nor candidate any more. Those who voted for it may vote for another at once.
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
        let jitter = splitmix64_unit(self.seed, term ^ BACKOFF_JITTER_MASK);
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

    /// A voter knows of a higher term: this gateway asks for votes of the next one. Whoever voted for it renews its vote
    /// under a higher term.
    fn on_vote_denied(&mut self, highest_term: u64) {
        let Some(voter) = &mut self.voter else { return };
        voter.observe_term(highest_term);
        let next_term = voter.highest_term() + 1;
        if let Some(leadership) = &mut self.leadership
            && leadership.term <= highest_term
        {
            debug_assert!(leadership.term <= next_term, "terms never fall");
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
