//! A voter. It promises its vote to one candidate at a time, and the promise expires by the voter's
//! own clock.

use admission::interface::Timestamp;

use crate::config::Config;
use crate::message::HolderId;

/// The largest difference between a received term and the highest known one. A term further ahead
/// cannot come from a correct voter and is ignored.
const MAX_TERM_LEAD: u64 = 1 << 20;

/// The vote that was granted last.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Promise {
    candidate: HolderId,
    term: u64,
    expires: Timestamp,
}

/// The state of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    /// No vote is granted before this time. Votes are not stored on disk, so a restarted voter
    /// waits until any vote from before the restart has expired.
    abstains_until: Timestamp,
    promise: Option<Promise>,
    highest_term: u64,
}

impl Voter {
    /// The state of a voter that starts at `now`.
    #[must_use]
    pub fn new(now: Timestamp, config: &Config) -> Self {
        let abstains_until = if config.fault_injection.skip_abstention {
            now
        } else {
            now + config.term_duration
        };
        Voter {
            abstains_until,
            promise: None,
            highest_term: 0,
        }
    }

    /// The highest known term. Terms only rise, which tells a holder which of two leaders is the
    /// later one.
    #[must_use]
    pub fn highest_term(&self) -> u64 {
        self.highest_term
    }

    /// Records a term that another voter reported. An implausibly high one is ignored.
    pub fn observe_term(&mut self, term: u64) {
        if self.is_plausible(term) {
            self.highest_term = self.highest_term.max(term);
        }
    }

    fn is_plausible(&self, term: u64) -> bool {
        term <= self.highest_term + MAX_TERM_LEAD
    }

    /// The candidate to which the vote is promised at `now`, or `None` if the vote is free.
    #[must_use]
    pub fn voted_for(&self, now: Timestamp) -> Option<&HolderId> {
        let promise = self.promise.as_ref()?;
        (now < promise.expires).then_some(&promise.candidate)
    }

    /// The time from which the vote can be given to another candidate, which may be this gateway
    /// itself.
    #[must_use]
    pub fn vote_available_from(&self) -> Timestamp {
        match &self.promise {
            Some(promise) => promise.expires.max(self.abstains_until),
            None => self.abstains_until,
        }
    }

    /// Grants or renews the vote for a candidate, and returns whether it was granted. The vote
    /// lasts for [`Config::term_duration`] from `now`.
    pub fn grant_vote(
        &mut self,
        now: Timestamp,
        candidate: &HolderId,
        term: u64,
        config: &Config,
    ) -> bool {
        if now < self.abstains_until || !self.is_plausible(term) {
            return false;
        }
        let renews = self
            .promise
            .as_ref()
            .is_some_and(|promise| promise.candidate == *candidate && promise.term <= term);
        if !renews {
            let promised_to_another = self.voted_for(now).is_some();
            // Grants from an earlier use of the term may still be in transit.
            let term_used = term <= self.highest_term;
            if promised_to_another || term_used {
                return false;
            }
        }
        self.record_promise(now, candidate, term, config);
        true
    }

    fn record_promise(&mut self, now: Timestamp, candidate: &HolderId, term: u64, config: &Config) {
        if let Some(promise) = &self.promise {
            debug_assert!(
                promise.candidate == *candidate || promise.expires <= now,
                "a vote is promised to one candidate at a time"
            );
            debug_assert!(
                promise.term <= term,
                "the term of the promise never decreases"
            );
        }
        self.highest_term = self.highest_term.max(term);
        self.promise = Some(Promise {
            candidate: candidate.clone(),
            term,
            expires: now + config.term_duration,
        });
    }

    /// Releases the vote of a candidate that steps down from `term`. A vote for a later term was
    /// granted after the candidate stepped down, so it stays in force.
    pub fn release(&mut self, now: Timestamp, candidate: &HolderId, term: u64) {
        if let Some(promise) = &mut self.promise
            && promise.candidate == *candidate
            && promise.term <= term
        {
            promise.expires = promise.expires.min(now);
        }
    }
}
