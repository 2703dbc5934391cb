//! The record of a member: its name, boot id, incarnation, address, locality and state.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The maximum length of a name, in characters.
const MAX_NAME_LENGTH: usize = 32;

/// The name of a node, which stays the same across restarts. It has 1 to 32 ASCII letters, digits,
/// dots, underscores and hyphens. Fleets, zones and regions use names of the same form.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(String);

/// The error for a text that is not a valid [`Name`]. It holds the rejected text.
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
    /// Creates a name from a text.
    ///
    /// # Errors
    /// Fails when the text is empty, is too long, or contains a character that is not allowed in
    /// names.
    pub fn new(text: &str) -> Result<Self, InvalidName> {
        Name::try_from(text.to_owned())
    }

    /// Returns the name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Identifies one process of a node, from its start to its end. The id is drawn at random at the
/// start, so that a restart or a second process under the same name can be told apart without a
/// clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BootId(pub u64);

/// SWIM's incarnation number. Of two records with the same name, the one with the higher
/// incarnation is newer.
///
/// Only the node itself raises its incarnation, in order to refute. It starts at 1, regardless of
/// the clock, and raises it above any incarnation that others still hold from an earlier boot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u32);

impl Incarnation {
    /// The highest incarnation that is accepted from other nodes. The numbers above it are left
    /// free, so that a refutation can always raise the incarnation further.
    pub const MAX: Incarnation = Incarnation(u32::MAX / 2);

    /// Returns the next higher incarnation.
    #[must_use]
    pub fn next(self) -> Incarnation {
        Incarnation(self.0.saturating_add(1))
    }

    /// Returns how far this incarnation is above the other one, or zero if it is not above it.
    #[must_use]
    pub fn ahead_of(self, other: Incarnation) -> u32 {
        self.0.saturating_sub(other.0)
    }
}

/// The location of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Locality {
    /// The zone, or `None` if none is configured.
    pub zone: Option<Name>,
    /// The region, or `None` if none is configured.
    pub region: Option<Name>,
}

/// The state of a member, ordered from best to worst. Of two records with the same incarnation, the
/// worse state takes precedence until the member refutes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe and may still refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member announced that it is leaving.
    Left,
}

impl MemberState {
    /// Returns whether the member may still be running. Such members count towards the size of the
    /// fleet.
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

/// What a node knows about another node, or announces about itself. The order of the fields is
/// their order on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The name of the node.
    pub name: Name,
    /// The boot id of the node's process.
    pub boot_id: BootId,
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// The address at which others reach the node, which may differ from the address it binds to.
    pub address: SocketAddr,
    /// The location of the node.
    pub locality: Locality,
    /// The state of the node.
    pub state: MemberState,
}
