//! The index of signing keys: which keys there are and when each takes its next step. A key is announced before it
//! signs, then retires, and is withdrawn for good.

use std::collections::BTreeSet;
use std::fmt;

use admission::interface::Timestamp;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest name of a key, in bytes.
const MAX_KEY_ID_LEN: usize = 32;

/// Names a key in tokens and files: letters, digits, `-` and `_`, 32 at most.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyId(String);

impl TryFrom<String> for KeyId {
    type Error = KeyIndexError;

    fn try_from(name: String) -> Result<Self, KeyIndexError> {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
        let has_allowed_length = (1..=MAX_KEY_ID_LEN).contains(&name.len());
        if has_allowed_length && name.bytes().all(allowed) {
            Ok(KeyId(name))
        } else {
            Err(KeyIndexError::InvalidKeyId)
        }
    }
}

impl From<KeyId> for String {
    fn from(id: KeyId) -> String {
        id.0
    }
}

impl fmt::Display for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl KeyId {
    /// The name itself.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The lifecycle of one key, in Unix seconds. A later step is never earlier than the one before it; one that is absent
/// is not planned yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyEntry {
    /// Its name.
    pub id: KeyId,
    /// Gateways know it from then on.
    pub announced_s: f64,
    /// It signs from then on.
    #[serde(rename = "signs_s", default, skip_serializing_if = "Option::is_none")]
    pub signing_s: Option<f64>,
    /// It signs nothing new from then on.
    #[serde(rename = "retires_s", default, skip_serializing_if = "Option::is_none")]
    pub retired_s: Option<f64>,
    /// Nothing that it signed is accepted from then on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub withdrawn_s: Option<f64>,
}

/// The index file beside the keys.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyIndex {
    /// Grows with each change; an older index never replaces a newer one.
    pub version: u64,
    /// All keys.
    pub keys: Vec<KeyEntry>,
}

/// Why an index cannot be used.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum KeyIndexError {
    /// A key's name is not one.
    #[error("a key's name is 1 to 32 letters, digits, - and _")]
    InvalidKeyId,
    /// It is not JSON of this form.
    #[error("key index: {0}")]
    Malformed(String),
    /// Two entries have this name.
    #[error("key index: two keys named {0}")]
    DuplicateKey(String),
    /// The steps of this key are not in order, or are no times.
    #[error("key index: {0}: times out of order")]
    TimesOutOfOrder(String),
    /// There is no public key for this entry.
    #[error("key index: {0}: its public key is missing or none")]
    MissingPublicKey(String),
    /// This key was withdrawn here, or its name is that of another key.
    #[error("key index: {0} was withdrawn and cannot come back")]
    WithdrawnKeyReused(String),
    /// A newer index was read before.
    #[error("key index: version {offered} is older than {current}")]
    OutdatedVersion {
        /// The version of the index that is refused.
        offered: u64,
        /// The version in use.
        current: u64,
    },
    /// It has more than so many keys.
    #[error("key index: over {0} keys")]
    TooManyKeys(usize),
}

/// Where a key is in its lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// In none of the files that have arrived here.
    Unknown,
    /// Known, and signs nothing yet: a token signed by it is early, not forged.
    Announced,
    /// New tokens are signed by it.
    Signing,
    /// It signs nothing new; what it signed is still accepted.
    Retiring,
    /// Nothing that it signed is accepted any more.
    Withdrawn,
}

impl KeyIndex {
    /// Most keys of an index.
    pub const MAX_KEYS: usize = 1000;

    /// Reads an index from JSON and checks it.
    ///
    /// # Errors
    /// It is not an index, or contradicts itself.
    pub fn parse(text: &str) -> Result<Self, KeyIndexError> {
        let index: KeyIndex = serde_json::from_str(text)
            .map_err(|error| KeyIndexError::Malformed(error.to_string()))?;
        index.validate()?;
        Ok(index)
    }

    /// Checks bounds, names and the order of steps.
    pub(crate) fn validate(&self) -> Result<(), KeyIndexError> {
        if self.keys.len() > Self::MAX_KEYS {
            return Err(KeyIndexError::TooManyKeys(Self::MAX_KEYS));
        }
        let mut seen = BTreeSet::new();
        for entry in &self.keys {
            if !seen.insert(&entry.id) {
                return Err(KeyIndexError::DuplicateKey(entry.id.0.clone()));
            }
            if !entry.steps_are_in_order() {
                return Err(KeyIndexError::TimesOutOfOrder(entry.id.0.clone()));
            }
        }
        Ok(())
    }
}

impl KeyEntry {
    /// The state of the key at a time, by this entry alone.
    #[must_use]
    pub fn state(&self, now: Timestamp) -> KeyState {
        let reached =
            |step: Option<f64>| step.is_some_and(|secs| Timestamp::from_secs(secs) <= now);
        if reached(self.withdrawn_s) {
            KeyState::Withdrawn
        } else if reached(self.retired_s) {
            KeyState::Retiring
        } else if reached(self.signing_s) {
            KeyState::Signing
        } else {
            KeyState::Announced
        }
    }

    fn steps_are_in_order(&self) -> bool {
        // A key may be withdrawn before it ever signed, but only one that signs can retire.
        let retires_unsigned = self.retired_s.is_some() && self.signing_s.is_none();
        let planned = [
            Some(self.announced_s),
            self.signing_s,
            self.retired_s,
            self.withdrawn_s,
        ];
        let steps: Vec<f64> = planned.into_iter().flatten().collect();
        let are_times = steps.iter().all(|secs| secs.is_finite() && *secs >= 0.0);
        are_times && steps.is_sorted() && !retires_unsigned
    }
}
