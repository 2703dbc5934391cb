//! Keys of the fleet: several are accepted, one signs, so that a key changes in service without losing anybody.

use std::collections::BTreeMap;
use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use thiserror::Error;

/// Accepted keys at most, the signing one among them.
pub const MAX_KEYS: usize = 8;
/// Bytes of the authentication tag that are sent: a forger has one chance in 2^128 a datagram.
pub const TAG_BYTES: usize = 16;
/// Bytes of a key.
pub const KEY_BYTES: usize = 32;

/// Names the signing key in each datagram, so that a foreign one is rejected without computing its tag. It follows from
/// the key alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub [u8; 4]);

/// Why keys make no [`KeyRing`].
#[derive(Debug, Error, PartialEq, Eq)]
pub enum KeyError {
    /// No key signs.
    #[error("no key signs")]
    NoSigningKey,
    /// There are so many keys.
    #[error("{0} keys: at most {MAX_KEYS}")]
    TooMany(usize),
}

/// Why an authentication tag does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TagError {
    /// The key is not accepted here.
    UnknownKey,
    /// The tag is not that of these bytes.
    Mismatch,
}

/// The accepted keys, and which of them signs.
#[derive(Clone)]
pub struct KeyRing {
    accepted: BTreeMap<KeyId, Hmac<Sha256>>,
    signing: KeyId,
}

impl fmt::Debug for KeyRing {
    /// The keys themselves are not shown.
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

/// The id of a key.
#[must_use]
pub fn key_id(key: &[u8; KEY_BYTES]) -> KeyId {
    let mut hash = keyed_hash(key);
    hash.update(b"laurelhitch fleet key mark");
    let hash = hash.finalize().into_bytes();
    KeyId([hash[0], hash[1], hash[2], hash[3]])
}

impl KeyRing {
    /// Accepts the signing key and the others.
    ///
    /// # Errors
    /// There are more than [`MAX_KEYS`].
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

    /// The key that signs.
    #[must_use]
    pub fn signing_key(&self) -> KeyId {
        self.signing
    }

    /// All keys that are accepted, in the order of their ids.
    pub fn accepted_keys(&self) -> impl Iterator<Item = KeyId> {
        self.accepted.keys().copied()
    }

    /// The authentication tag of these parts in a row, by the signing key.
    #[must_use]
    pub fn authentication_tag(&self, parts: &[&[u8]]) -> [u8; TAG_BYTES] {
        let mut hash = self.accepted[&self.signing].clone();
        for part in parts {
            hash.update(part);
        }
        let hash = hash.finalize().into_bytes();
        std::array::from_fn(|index| hash[index])
    }

    /// Checks a tag of these parts in a row, in constant time.
    ///
    /// # Errors
    /// The key is not accepted, or the tag is another.
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
