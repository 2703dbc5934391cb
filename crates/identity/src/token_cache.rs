//! Verified tokens by their digest, so that a signature is checked once and not at every statement. Bounded: an entry
//! leaves when its token or key ends or when it was used least recently, and all leave when key files change.

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
    /// What it says.
    pub claims: Arc<Claims>,
}

#[derive(Clone, Debug)]
struct CacheEntry {
    token: VerifiedToken,
    expires: Timestamp,
    /// The count of uses at its last one.
    last_use: u64,
}

/// A cache of verified tokens that evicts the least recently used.
pub struct TokenCache {
    capacity: usize,
    entries: BTreeMap<TokenDigest, CacheEntry>,
    by_last_use: BTreeSet<(u64, TokenDigest)>,
    by_expiry: BTreeSet<(Timestamp, TokenDigest)>,
    uses: u64,
}

impl TokenCache {
    /// An empty cache for so many tokens; zero: it keeps none.
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

    /// The token of this digest, if it was verified before and has not expired.
    pub fn get(&mut self, now: Timestamp, digest: &TokenDigest) -> Option<VerifiedToken> {
        self.remove_expired(now);
        let entry = self.entries.get_mut(digest)?;
        self.uses += 1;
        self.by_last_use.remove(&(entry.last_use, *digest));
        entry.last_use = self.uses;
        self.by_last_use.insert((entry.last_use, *digest));
        Some(entry.token.clone())
    }

    /// Keeps a verified token until it expires.
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

    /// Tokens kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no token is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
