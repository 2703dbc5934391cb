//! What gateways say to each other of budgets: carried, signed and kept from repeating by `crates/membership`.

use membership::{BootId, Name};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::amount::Amount;
use crate::terms::MOST_BUDGETS;

/// One process under a name: another life is another holder, since it knows nothing of what the first one held.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Who {
    pub name: Name,
    pub life: BootId,
}

/// Counts a gateway's own questions; an answer names the one that it answers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Count(pub u64);

impl Count {
    #[must_use]
    pub fn next(self) -> Count {
        Count(self.0 + 1)
    }
}

/// What is asked of one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Need {
    pub mark: u32,
    /// Beyond its floor, a second.
    pub need: Amount,
    /// Leased to it at present, by whomever.
    pub held: Amount,
    /// What its file says, to be compared.
    pub whole: Amount,
    pub floor: Amount,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ask {
    pub count: Count,
    /// The question whose grant it holds; no answer to another one of before will be taken any more.
    pub holds: Option<Count>,
    /// It gives all back, and has stopped to spend it.
    pub leaves: bool,
    /// Its steady clock in milliseconds: leases are only as good as it runs.
    pub clock_ms: u64,
    pub needs: Vec<Need>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Word {
    /// Be for me as steward: of this number, until your promise ends.
    Canvass {
        number: u64,
        count: Count,
    },
    /// Yes, or the highest number known here.
    Vote {
        count: Count,
        yes: bool,
        highest: u64,
    },
    /// Not for me any more: a promise is free.
    Resign {
        number: u64,
    },
    Ask(Ask),
    Grant {
        count: Count,
        number: u64,
        amounts: Vec<(u32, Amount)>,
    },
    /// Not the steward, but this one may be.
    Steer {
        steward: Option<Name>,
    },
}

/// Why a word counts for nothing.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Refused {
    #[error("cannot be read")]
    Form,
    #[error("from one that is no voter")]
    NoVoter,
    #[error("an answer to nothing that was asked")]
    Unasked,
    #[error("older than one before it")]
    Old,
}

impl Word {
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("plain values")
    }

    /// # Errors
    /// It cannot be read, or holds more than can be asked.
    pub fn read(bytes: &[u8]) -> Result<Self, Refused> {
        let (word, left) = postcard::take_from_bytes::<Word>(bytes).map_err(|_| Refused::Form)?;
        let many = match &word {
            Word::Ask(ask) => ask.needs.len() > MOST_BUDGETS,
            Word::Grant { amounts, .. } => amounts.len() > MOST_BUDGETS,
            _ => false,
        };
        if many || !left.is_empty() {
            Err(Refused::Form)
        } else {
            Ok(word)
        }
    }
}
