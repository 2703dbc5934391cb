//! A cache of verified tokens by digest, so that a signature is verified once and not at every
//! statement. An entry is removed when its token expires, when its key is withdrawn, or when the
//! cache is full and the entry is the least recently used one. The whole cache is cleared when key
//! files change.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use admission::interface::Timestamp;

use crate::key_index::KeyId;
use crate::token::Claims;

/// The SHA-256 digest of a token.
pub type TokenDigest = [u8; 32];

/// A token whose signature was verified.
#[derive(Clone, Debug)]
pub struct VerifiedToken {
    /// The key that signed it.
    pub key_id: Arc<KeyId>,
    /// The claims of the token.
    pub claims: Arc<Claims>,
}

#[derive(Clone, Debug)]
struct CacheEntry {
    token: VerifiedToken,
    expires: Timestamp,
    /// The value of [`TokenCache::uses`] at the last use of this entry.
    last_use: u64,
}

/// A cache of verified tokens that evicts the least recently used one when it is full.
pub struct TokenCache {
    capacity: usize,
    entries: BTreeMap<TokenDigest, CacheEntry>,
    by_last_use: BTreeSet<(u64, TokenDigest)>,
    by_expiry: BTreeSet<(Timestamp, TokenDigest)>,
    uses: u64,
}

impl TokenCache {
    /// Creates an empty cache for at most `capacity` tokens. A capacity of 0 disables the cache.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        TokenCache {
            capacity,
            entries: BTreeMap::new(),
            by_last_use: BTreeSet::new(),
            by_expiry: BTreeSet::new(),
            uses: 0,
        }
    }

    /// Looks up a token by its digest. Returns `None` if it is not cached or has expired.
    pub fn get(&mut self, now: Timestamp, digest: &TokenDigest) -> Option<VerifiedToken> {
        self.remove_expired(now);
        let entry = self.entries.get_mut(digest)?;
        self.uses += 1;
        self.by_last_use.remove(&(entry.last_use, *digest));
        entry.last_use = self.uses;
        self.by_last_use.insert((entry.last_use, *digest));
        Some(entry.token.clone())
    }

    /// Caches a verified token until `expires`.
    pub fn insert(
        &mut self,
        now: Timestamp,
        digest: TokenDigest,
        token: VerifiedToken,
        expires: Timestamp,
    ) {
        self.remove_expired(now);
        if self.capacity == 0 || expires <= now {
            return;
        }
        self.remove(&digest);
        self.make_room();
        self.uses += 1;
        self.by_last_use.insert((self.uses, digest));
        self.by_expiry.insert((expires, digest));
        let entry = CacheEntry {
            token,
            expires,
            last_use: self.uses,
        };
        self.entries.insert(digest, entry);
    }

    fn make_room(&mut self) {
        while self.entries.len() >= self.capacity
            && let Some((_, least_recent)) = self.by_last_use.first().copied()
        {
            self.remove(&least_recent);
        }
    }

    fn remove(&mut self, digest: &TokenDigest) {
        if let Some(entry) = self.entries.remove(digest) {
            self.by_last_use.remove(&(entry.last_use, *digest));
            self.by_expiry.remove(&(entry.expires, *digest));
        }
    }

    fn remove_expired(&mut self, now: Timestamp) {
        while let Some((expires, digest)) = self.by_expiry.first().copied()
            && expires <= now
        {
            self.remove(&digest);
        }
    }

    /// Removes all tokens.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.by_last_use.clear();
        self.by_expiry.clear();
    }

    /// The number of cached tokens.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the cache is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
