//! What a node says of itself and others: name, boot, incarnation, address and state.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Characters of a name at most.
const MAX_NAME_LENGTH: usize = 32;

/// A node's name, the same after a restart: 1 to 32 letters, digits, dots, underscores and hyphens. Fleets, zones and
/// regions have names of the same form.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(String);

/// A text that is no [`Name`].
#[derive(Debug, Error, PartialEq, Eq)]
#[error("'{0}' is no name of 1 to 32 letters, digits, dots, underscores and hyphens")]
pub struct InvalidName(String);

impl TryFrom<String> for Name {
    type Error = InvalidName;

    fn try_from(text: String) -> Result<Self, InvalidName> {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
        let valid_length = (1..=MAX_NAME_LENGTH).contains(&text.len());
        if valid_length && text.chars().all(allowed) {
            Ok(Name(text))
        } else {
            Err(InvalidName(text))
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
    /// A name of this text.
    ///
    /// # Errors
    /// The text is empty, too long, or has a character that names do not have.
    pub fn new(text: &str) -> Result<Self, InvalidName> {
        Name::try_from(text.to_owned())
    }

    /// The name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// One process of a node, from its start to its end. Drawn at random at the start, so that a restart under the same name,
/// or a second process with it, is told apart without a clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BootId(pub u64);

/// SWIM's incarnation number: of two records of one name, the higher is newer. Only the node itself raises it, to refute;
/// it starts at one whatever the clock says, and rises above whatever others still hold of an earlier boot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u32);

impl Incarnation {
    /// None beyond is believed, so that a refutation always has room.
    pub const MAX: Incarnation = Incarnation(u32::MAX / 2);

    /// The next higher one.
    #[must_use]
    pub fn next(self) -> Incarnation {
        Incarnation(self.0.saturating_add(1))
    }

    /// How far this one is above another; zero where it is not.
    #[must_use]
    pub fn ahead_of(self, other: Incarnation) -> u32 {
        self.0.saturating_sub(other.0)
    }
}

/// Where a node stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Locality {
    /// The zone, where it is configured.
    pub zone: Option<Name>,
    /// The region, where it is configured.
    pub region: Option<Name>,
}

/// State of a member, from best to worst: of two records with one incarnation the worse one holds until it is refuted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer, and may still refute.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It said that it leaves.
    Left,
}

impl MemberState {
    /// It may be there: it counts in the fleet's size.
    #[must_use]
    pub fn is_present(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Dead => "dead",
            MemberState::Left => "left",
        })
    }
}

/// What one node holds of another, or says of itself. The order of the fields is their order on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Its name.
    pub name: Name,
    /// Its process.
    pub boot_id: BootId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Where it is reached, which need not be where it is bound.
    pub address: SocketAddr,
    /// Where it stands.
    pub locality: Locality,
    /// Its state.
    pub state: MemberState,
}
