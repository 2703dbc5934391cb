//! Who a gateway is, as others are told.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A gateway's name, the same after a restart: 1 to 32 messages, digits, dots, underscores and hyphens.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(String);

#[derive(Debug, Error, PartialEq, Eq)]
#[error("'{0}' is no name of 1 to 32 messages, digits, dots, underscores and hyphens")]
pub struct NoName(String);

impl TryFrom<String> for Name {
    type Error = NoName;
    fn try_from(text: String) -> Result<Self, NoName> {
        let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
        if (1..=32).contains(&text.len()) && text.chars().all(plain) {
            Ok(Name(text))
        } else {
            Err(NoName(text))
        }
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl Name {
    /// # Errors
    /// It is no name.
    pub fn new(text: &str) -> Result<Self, NoName> {
        Name::try_from(text.to_owned())
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// One process of a gateway, from its start to its end: drawn at the start, so that a restart under the same name, or a
/// second process with it, is told apart without a clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life(pub u64);

/// Of one name, the higher is the newer word. Only the gateway itself raises it, to refute; it starts at one whatever
/// the clock says, and rises above whatever others still hold of an earlier life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u32);

impl Incarnation {
    /// Nothing beyond is believed, so that a refutation always has room.
    pub const LAST: Incarnation = Incarnation(u32::MAX / 2);

    pub fn next(self) -> Incarnation {
        Incarnation(self.0.saturating_add(1))
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Locality {
    pub zone: Option<Name>,
    pub region: Option<Name>,
}

/// From the best to the worst word: of two with one incarnation the worse holds until it is refuted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    Alive,
    Suspect,
    Dead,
    /// It said that it goes.
    Left,
}

impl State {
    /// It may be there: it counts in the fleet's size.
    pub fn counts(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        })
    }
}

/// What one gateway holds of another, or says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    pub name: Name,
    pub life: Life,
    pub incarnation: Incarnation,
    /// Where it is reached, which need not be where it is bound.
    pub address: SocketAddr,
    pub locality: Locality,
    pub state: State,
}

impl Record {
    /// Whether this is newer word than `held`, or worse word of the same incarnation.
    pub fn beats(&self, held: &Record) -> bool {
        (self.incarnation, self.state) > (held.incarnation, held.state)
    }
}
