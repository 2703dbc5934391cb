//! What the operator says of the budgets, checked.

use admission::interface::TimeDelta;
use membership::Name;
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::amount::Amount;

/// As many as one datagram can ask for.
pub const MOST_BUDGETS: usize = 24;
pub const MOST_VOTERS: usize = 9;

/// What a budget bounds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Use {
    /// Predicted CPU seconds a second of a member, by its name in `queues`.
    Member(String),
    /// Further attempts a second of a query class.
    Relays(String),
    /// Trials of ejected engines a second.
    Trials,
    /// Part of what a cold engine bears, of every one.
    Cold,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub of: Use,
    /// For all gateways together, a second.
    pub whole: Amount,
    /// Of it, what each gateway has without a word from anybody.
    pub floor: Amount,
}

impl Budget {
    pub fn name(&self) -> String {
        match &self.of {
            Use::Member(name) => format!("member.{name}"),
            Use::Relays(class) => format!("relays.{class}"),
            Use::Trials => "trials".to_owned(),
            Use::Cold => "cold".to_owned(),
        }
    }

    pub fn unit(&self) -> &'static str {
        match self.of {
            Use::Member(_) => "cpu_s/s",
            Use::Relays(_) => "relays/s",
            Use::Trials => "trials/s",
            Use::Cold => "part",
        }
    }

    /// By which gateways speak of it, whatever the order in their files.
    pub fn mark(&self) -> u32 {
        let hash = Sha256::digest(self.name().as_bytes());
        u32::from_le_bytes(std::array::from_fn(|at| hash[at]))
    }
}

/// Mechanisms taken out, to see that searches and tests find it. Nothing sets them in a gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Faults {
    /// A new steward grants at once, whatever an earlier one may have granted.
    pub no_wait: bool,
    /// Time is told by a clock that others set: whoever calls hands it in.
    pub wall_clock: bool,
    /// What is given back goes on being spent.
    pub keeps_given: bool,
    /// An answer to an earlier question counts, from when it comes.
    pub stale_grants: bool,
    /// A voter that just started votes at once.
    pub no_abstaining: bool,
    /// Leases and terms last for their full time by every clock.
    pub no_drift: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// In the order of their names.
    pub budgets: Vec<Budget>,
    /// Who chooses the steward, and may be it.
    pub voters: Vec<Name>,
    /// Gateways that may run at once at most, those that stand still among them: floors are cut by it.
    pub most: usize,
    /// How long what was granted may be spent without word.
    pub lease: TimeDelta,
    /// How long a vote holds.
    pub term: TimeDelta,
    /// How often leases and votes are asked for anew.
    pub renew: TimeDelta,
    /// Clocks run fast or slow by this many millionths at most.
    pub drift_ppm: u32,
    /// Budgets save up over this time at most.
    pub burst: TimeDelta,
    pub faults: Faults,
}

#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum TermsError {
    #[error("no budget, or more than {MOST_BUDGETS}")]
    Budgets,
    #[error("{0} twice, or two names that cannot be told apart")]
    Twice(String),
    #[error("{0}: floors of {1} gateways are more than the whole")]
    Floors(String, usize),
    #[error("none, an even number, or more than {MOST_VOTERS}: a majority of an odd few chooses")]
    Voters,
    #[error("at least four times as long as renewing")]
    Short,
    #[error(
        "a lease has to outlast a term and two renewals, or every change of steward leaves floors alone"
    )]
    Lease,
}

impl Terms {
    /// # Errors
    /// They contradict themselves.
    pub fn check(&self) -> Result<(), TermsError> {
        if self.budgets.is_empty() || self.budgets.len() > MOST_BUDGETS {
            return Err(TermsError::Budgets);
        }
        for (at, budget) in self.budgets.iter().enumerate() {
            if self.budgets[..at]
                .iter()
                .any(|other| other.mark() == budget.mark())
            {
                return Err(TermsError::Twice(budget.name()));
            }
            if budget.floor.times(self.most) > budget.whole {
                return Err(TermsError::Floors(budget.name(), self.most));
            }
        }
        let twice = (1..self.voters.len()).any(|at| self.voters[..at].contains(&self.voters[at]));
        if self.voters.len().is_multiple_of(2) || self.voters.len() > MOST_VOTERS || twice {
            return Err(TermsError::Voters);
        }
        let (renew, term) = (self.renew.secs(), self.term.secs());
        if term < 4.0 * renew {
            return Err(TermsError::Short);
        }
        if self.lease.secs() < term + 2.0 * renew {
            Err(TermsError::Lease)
        } else {
            Ok(())
        }
    }

    /// So long its holder counts a span that whoever granted it counts in full: by the fastest clock the grantor's is
    /// over no sooner than the holder's by the slowest.
    pub fn held_for(&self, span: TimeDelta) -> TimeDelta {
        if self.faults.no_drift {
            return span;
        }
        let drift = f64::from(self.drift_ppm) / 1e6;
        TimeDelta::from_secs(span.secs() * (1.0 - drift) / (1.0 + drift))
    }

    /// What is leased of a whole: what floors leave.
    pub fn leased(&self, whole: Amount, floor: Amount) -> Amount {
        whole.less(floor.times(self.most))
    }

    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}
