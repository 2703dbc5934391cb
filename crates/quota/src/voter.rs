//! A voter's promise: one steward at a time, until the promise ends by its own clock.

use admission::interface::Timestamp;

use crate::terms::Terms;
use crate::word::Who;

/// A number further ahead than this of all that was heard is no voter's that counts as others do.
const LEAP: u64 = 1 << 20;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    /// It may have promised in an earlier life, which nothing on disk tells: until then it promises nothing.
    abstains_until: Timestamp,
    promised: Option<(Who, u64, Timestamp)>,
    /// Numbers of stewards go up, so that a gateway can tell the later one.
    highest: u64,
}

impl Voter {
    pub fn new(now: Timestamp, terms: &Terms) -> Self {
        let abstains_until = if terms.faults.no_abstaining {
            now
        } else {
            now + terms.term
        };
        Voter {
            abstains_until,
            promised: None,
            highest: 0,
        }
    }

    pub fn highest(&self) -> u64 {
        self.highest
    }

    pub fn heard_of(&mut self, number: u64) {
        if number <= self.highest + LEAP {
            self.highest = self.highest.max(number);
        }
    }

    /// Whom it promised itself to, as long as that holds.
    pub fn promised(&self, now: Timestamp) -> Option<&Who> {
        self.promised
            .as_ref()
            .filter(|(_, _, until)| now < *until)
            .map(|(who, _, _)| who)
    }

    /// When it is free to be a candidate's, itself among them.
    pub fn free_at(&self) -> Timestamp {
        let until = self.promised.as_ref().map(|(_, _, until)| *until);
        until.map_or(self.abstains_until, |until| until.max(self.abstains_until))
    }

    /// Whether it votes for this candidate, which holds until its promise ends.
    pub fn canvassed(&mut self, now: Timestamp, by: &Who, number: u64, terms: &Terms) -> bool {
        if now < self.abstains_until || number > self.highest + LEAP {
            return false;
        }
        let again = match &self.promised {
            Some((who, of, _)) if who == by && *of <= number => true,
            Some((_, _, until)) if now < *until => return false,
            _ => false,
        };
        // A number that was another's, or its own of before, may stand in grants still on their way.
        if !again && number <= self.highest {
            return false;
        }
        self.highest = self.highest.max(number);
        self.promised = Some((by.clone(), number, now + terms.term));
        true
    }

    /// Whom it promised itself to has let go of it; one of a later number came after that, and stands.
    pub fn released(&mut self, now: Timestamp, by: &Who, number: u64) {
        if let Some((who, of, until)) = &mut self.promised
            && who == by
            && *of <= number
        {
            *until = (*until).min(now);
        }
    }
}
