//! The index of signing keys and the times of their lifecycle steps. A key is first announced, then
//! signs tokens, then retires, and is finally withdrawn.

use std::collections::BTreeSet;
use std::fmt;

use admission::interface::Timestamp;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The maximum length of a key ID, in bytes.
const MAX_KEY_ID_LEN: usize = 32;

/// The ID of a key in tokens and files: 1 to 32 ASCII letters, digits, `-` and `_`.
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
    /// The ID as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The lifecycle of one key. Times are in Unix seconds and must be in the order of the steps. A
/// step that is `None` is not planned yet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyEntry {
    /// The ID of the key.
    pub id: KeyId,
    /// The time from which gateways know the key.
    pub announced_s: f64,
    /// The time from which the key signs tokens.
    #[serde(rename = "signs_s", default, skip_serializing_if = "Option::is_none")]
    pub signing_s: Option<f64>,
    /// The time from which the key signs no new tokens.
    #[serde(rename = "retires_s", default, skip_serializing_if = "Option::is_none")]
    pub retired_s: Option<f64>,
    /// The time from which tokens signed by the key are no longer accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub withdrawn_s: Option<f64>,
}

/// The index file, which is stored next to the key files.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyIndex {
    /// The version, which increases with each change. An older index never replaces a newer one.
    pub version: u64,
    /// The entries of all keys.
    pub keys: Vec<KeyEntry>,
}

/// A key ID or a key index is invalid.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum KeyIndexError {
    /// A key ID is empty, too long or contains other characters than those allowed.
    #[error("a key's name is 1 to 32 letters, digits, - and _")]
    InvalidKeyId,
    /// The index is not JSON of the expected structure.
    #[error("key index: {0}")]
    Malformed(String),
    /// Two entries have this key ID.
    #[error("key index: two keys named {0}")]
    DuplicateKey(String),
    /// The times of this key are not in the order of the steps, or are not valid times.
    #[error("key index: {0}: times out of order")]
    TimesOutOfOrder(String),
    /// The public key of this entry is missing or invalid.
    #[error("key index: {0}: its public key is missing or none")]
    MissingPublicKey(String),
    /// This key was withdrawn at this gateway, or its ID belongs to another public key.
    #[error("key index: {0} was withdrawn and cannot come back")]
    WithdrawnKeyReused(String),
    /// A newer index is already in use.
    #[error("key index: version {offered} is older than {current}")]
    OutdatedVersion {
        /// The version of the rejected index.
        offered: u64,
        /// The version in use.
        current: u64,
    },
    /// The index has more keys than this maximum.
    #[error("key index: over {0} keys")]
    TooManyKeys(usize),
}

/// The state of a key in its lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// No key file at this gateway contains the key.
    Unknown,
    /// The key is known but does not sign yet. A token signed by it is early rather than forged.
    Announced,
    /// The key signs new tokens.
    Signing,
    /// The key signs no new tokens, but tokens that it signed are still accepted.
    Retiring,
    /// Tokens signed by the key are no longer accepted.
    Withdrawn,
}

impl KeyIndex {
    /// The maximum number of keys in an index.
    pub const MAX_KEYS: usize = 1000;

    /// Parses and validates an index in JSON.
    ///
    /// # Errors
    /// The text is not an index, or the index is invalid.
    pub fn parse(text: &str) -> Result<Self, KeyIndexError> {
        let index: KeyIndex = serde_json::from_str(text)
            .map_err(|error| KeyIndexError::Malformed(error.to_string()))?;
        index.validate()?;
        Ok(index)
    }

    /// Checks the number of keys, that their IDs are unique, and the order of their steps.
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
    /// The state of the key at a time, according to this entry alone.
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
        // A key may be withdrawn without ever having signed, but a key that never signs cannot
        // retire.
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
