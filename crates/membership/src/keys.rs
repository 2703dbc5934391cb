//! The keys of the fleet. A node accepts several keys and signs with one of them, so that keys can
//! be rotated while the fleet is running.

use std::collections::BTreeMap;
use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use thiserror::Error;

/// The maximum number of accepted keys, including the signing key.
pub const MAX_KEYS: usize = 8;
/// The length of the truncated authentication tag, in bytes. A forged datagram passes with a
/// probability of 2^-128.
pub const TAG_BYTES: usize = 16;
/// The length of a key, in bytes.
pub const KEY_BYTES: usize = 32;

/// Identifies the signing key in each datagram, so that a datagram signed with an unknown key is
/// rejected without computing its tag. The id is derived from the key alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub [u8; 4]);

/// Why a set of keys cannot form a [`KeyRing`].
#[derive(Debug, Error, PartialEq, Eq)]
pub enum KeyError {
    /// There is no signing key.
    #[error("there is no signing key")]
    NoSigningKey,
    /// There are more than [`MAX_KEYS`] keys. Holds their number.
    #[error("{0} keys exceed the limit of {MAX_KEYS}")]
    TooMany(usize),
}

/// Why an authentication tag is not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TagError {
    /// The key is not accepted.
    UnknownKey,
    /// The tag does not match the data.
    Mismatch,
}

/// The accepted keys, one of which signs.
#[derive(Clone)]
pub struct KeyRing {
    accepted: BTreeMap<KeyId, Hmac<Sha256>>,
    signing: KeyId,
}

impl fmt::Debug for KeyRing {
    /// Shows only the ids of the keys, never the keys themselves.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyRing")
            .field("accepted", &self.accepted.keys())
            .field("signing", &self.signing)
            .finish()
    }
}

fn keyed_hash(key: &[u8; KEY_BYTES]) -> Hmac<Sha256> {
    Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length")
}

/// Returns the id of a key.
#[must_use]
pub fn key_id(key: &[u8; KEY_BYTES]) -> KeyId {
    let mut hash = keyed_hash(key);
    hash.update(b"laurelhitch fleet key mark");
    let hash = hash.finalize().into_bytes();
    KeyId([hash[0], hash[1], hash[2], hash[3]])
}

impl KeyRing {
    /// Creates a key ring that signs with one key and accepts that key and the others.
    ///
    /// # Errors
    /// Fails if there are more than [`MAX_KEYS`] keys.
    pub fn new(signing: &[u8; KEY_BYTES], others: &[[u8; KEY_BYTES]]) -> Result<Self, KeyError> {
        if others.len() >= MAX_KEYS {
            return Err(KeyError::TooMany(others.len() + 1));
        }
        let all = others.iter().chain([signing]);
        Ok(KeyRing {
            accepted: all.map(|key| (key_id(key), keyed_hash(key))).collect(),
            signing: key_id(signing),
        })
    }

    /// Returns the id of the signing key.
    #[must_use]
    pub fn signing_key(&self) -> KeyId {
        self.signing
    }

    /// Returns the ids of all accepted keys, in ascending order.
    pub fn accepted_keys(&self) -> impl Iterator<Item = KeyId> {
        self.accepted.keys().copied()
    }

    /// Computes the authentication tag of the concatenated parts with the signing key.
    #[must_use]
    pub fn authentication_tag(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        let mut hash = self.accepted[&self.signing].clone();
        for part in parts {
            hash.update(part);
        }
        let hash = hash.finalize().into_bytes();
        std::array::from_fn(|index| hash[index])
    }

    /// Verifies the tag of the concatenated parts in constant time.
    ///
    /// # Errors
    /// Fails if the key is not accepted or the tag does not match.
    pub fn verify(&self, key: KeyId, parts: &[&[u8]], tag: &[u8]) -> Result<(), TagError> {
        let mut hash = self.accepted.get(&key).ok_or(TagError::UnknownKey)?.clone();
        for part in parts {
            hash.update(part);
        }
        if tag.len() == TAG_BYTES && hash.verify_truncated_left(tag).is_ok() {
            Ok(())
        } else {
            Err(TagError::Mismatch)
        }
    }
}
