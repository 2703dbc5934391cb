//! A voter: it promises its vote to one candidate at a time, until the promise expires by its own clock.

use admission::interface::Timestamp;

use crate::config::Config;
use crate::message::HolderId;

/// A term further ahead than this of all that were heard of is not taken over: it cannot come from a correct voter.
const MAX_TERM_LEAD: u64 = 1 << 20;

/// The vote that a voter has given.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Promise {
    candidate: HolderId,
    term: u64,
    expires: Timestamp,
}

/// The state of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    /// It may have promised its vote before a restart, and nothing is kept on disk: it gives no vote until then.
    abstains_until: Timestamp,
    promise: Option<Promise>,
    highest_term: u64,
}

impl Voter {
    /// A voter that starts now.
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

    /// The highest term heard of. Terms rise, so that a holder can tell the later of two leaders.
    #[must_use]
    pub fn highest_term(&self) -> u64 {
        self.highest_term
    }

    /// Another voter knows of this term.
    pub fn observe_term(&mut self, term: u64) {
        if self.is_plausible(term) {
            self.highest_term = self.highest_term.max(term);
        }
    }

    fn is_plausible(&self, term: u64) -> bool {
        term <= self.highest_term + MAX_TERM_LEAD
    }

    /// The candidate that has its vote now.
    #[must_use]
    pub fn voted_for(&self, now: Timestamp) -> Option<&HolderId> {
        let promise = self.promise.as_ref()?;
        (now < promise.expires).then_some(&promise.candidate)
    }

    /// When it may vote for another candidate, itself among them.
    #[must_use]
    pub fn free_from(&self) -> Timestamp {
        match &self.promise {
            Some(promise) => promise.expires.max(self.abstains_until),
            None => self.abstains_until,
        }
    }

    /// Gives or renews its vote; whether it does. The vote lasts for [`Config::term_duration`].
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
            // Grants of a term that was used before may still be on their way.
            let term_used = term <= self.highest_term;
            if promised_to_another || term_used {
                return false;
            }
        }
        self.promise_to(now, candidate, term, config);
        true
    }

    fn promise_to(&mut self, now: Timestamp, candidate: &HolderId, term: u64, config: &Config) {
        if let Some(promise) = &self.promise {
            debug_assert!(
                promise.candidate == *candidate || promise.expires <= now,
                "one promise at a time"
            );
            debug_assert!(promise.term <= term, "the terms of promises never fall");
        }
        self.highest_term = self.highest_term.max(term);
        self.promise = Some(Promise {
            candidate: candidate.clone(),
            term,
            expires: now + config.term_duration,
        });
    }

    /// A candidate steps down from a term: a promise to it of that term or before is void. One of a later term was given
    /// after that, and stands.
    pub fn release(&mut self, now: Timestamp, candidate: &HolderId, term: u64) {
        if let Some(promise) = &mut self.promise
            && promise.candidate == *candidate
            && promise.term <= term
        {
            promise.expires = promise.expires.min(now);
        }
    }
}
