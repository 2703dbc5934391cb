//! Authentication by token: accepts a token, rejects it, or asks the client to retry later.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use admission::interface::{TimeDelta, Timestamp};
use sha2::{Digest as _, Sha256};
use thiserror::Error;

use crate::key_index::{KeyId, KeyIndex, KeyIndexError, KeyState};
use crate::key_ring::{KeyRing, PublicKey};
use crate::revocation::{ListExtent, RevocationList, RevokedSubject};
use crate::token::{self, Claims, TokenError};
use crate::token_cache::{TokenCache, TokenDigest, VerifiedToken};

/// The limits and durations of token verification.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VerifierConfig {
    /// The tolerated difference between clocks.
    pub clock_skew: TimeDelta,
    /// The time after its issue during which a token whose key has not arrived at this gateway is
    /// retried rather than rejected.
    pub key_arrival_grace: TimeDelta,
    /// The time after which a client is asked to retry.
    pub retry_after: TimeDelta,
    /// The maximum lifetime of a token.
    pub max_token_lifetime: TimeDelta,
    /// The maximum number of cached tokens.
    pub max_cached_tokens: usize,
    /// The maximum number of failed signature checks per second. Clients with further unverified
    /// tokens are asked to retry later.
    pub signature_checks_per_s: f64,
}

impl Default for VerifierConfig {
    fn default() -> Self {
        VerifierConfig {
            clock_skew: TimeDelta::from_secs(5.0),
            key_arrival_grace: TimeDelta::from_secs(30.0),
            retry_after: TimeDelta::from_secs(0.5),
            max_token_lifetime: TimeDelta::from_secs(86_400.0),
            max_cached_tokens: 10_000,
            signature_checks_per_s: 500.0,
        }
    }
}

/// The reason why a token is permanently rejected. The messages are sent to clients.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum TokenRejection {
    /// The text is not a token, its signature does not verify, or its claims are invalid.
    #[error("token: {0}")]
    Invalid(#[from] TokenError),
    /// No key file at this gateway contains the token's key.
    #[error("token: its key is not known here")]
    UnknownKey,
    /// The token's key is withdrawn.
    #[error("token: its key is withdrawn")]
    KeyWithdrawn,
    /// The token's key is announced but does not sign yet.
    #[error("token: its key signs nothing yet")]
    KeyNotSigningYet,
    /// The token's key was not signing when the token was issued.
    #[error("token: issued when its key signed nothing")]
    KeyNotSigningAtIssue,
    /// The token has expired.
    #[error("token: it is expired")]
    Expired,
    /// The token's lifetime exceeds the maximum.
    #[error("token: it holds too long")]
    LifetimeTooLong,
    /// The token is on the revocation list.
    #[error("token: it is revoked")]
    TokenRevoked,
    /// The token's caller is on the revocation list.
    #[error("token: its caller is revoked")]
    CallerRevoked,
}

/// The result of verifying a token.
#[derive(Clone, Debug, PartialEq)]
pub enum Authentication {
    /// The token is valid, and the caller is the one named in its claims.
    Accepted {
        /// The claims of the token.
        claims: Arc<Claims>,
        /// The time until which the token is accepted, unless it is revoked earlier.
        valid_until: Timestamp,
    },
    /// The token may be accepted later, for example once its key has arrived at this gateway.
    RetryLater {
        /// The time after which the client should retry.
        retry_after: TimeDelta,
    },
    /// The token will not be accepted later either.
    Rejected(TokenRejection),
}

/// A token bucket that limits signature checks. Successful checks are refunded, so the limit
/// applies to failed ones: a flood of forged tokens takes a bounded amount of CPU time.
#[derive(Clone, Copy, Debug)]
struct CheckBudget {
    per_s: f64,
    available: f64,
    refilled: Timestamp,
}

impl CheckBudget {
    fn new(now: Timestamp, per_s: f64) -> Self {
        CheckBudget {
            per_s,
            available: per_s,
            refilled: now,
        }
    }

    /// Takes one check from the budget. Returns `false` if none is left.
    fn try_take(&mut self, now: Timestamp) -> bool {
        let elapsed_s = (now - self.refilled).secs().max(0.0);
        self.available = (self.available + elapsed_s * self.per_s).min(self.per_s);
        self.refilled = now;
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }

    fn refund(&mut self) {
        self.available = (self.available + 1.0).min(self.per_s);
    }
}

/// Verifies tokens against the key files of one gateway.
pub struct TokenVerifier {
    config: VerifierConfig,
    key_ring: KeyRing,
    revoked: RevocationList,
    cache: TokenCache,
    check_budget: CheckBudget,
    /// Keys of the index whose public keys have not arrived.
    arriving: BTreeSet<KeyId>,
    /// The number of signature checks since the verifier was created.
    pub signatures_checked: u64,
}

impl TokenVerifier {
    /// Creates a verifier without keys, which accepts no token.
    #[must_use]
    pub fn new(now: Timestamp, config: VerifierConfig) -> Self {
        TokenVerifier {
            config,
            key_ring: KeyRing::default(),
            revoked: RevocationList::default(),
            cache: TokenCache::new(config.max_cached_tokens),
            check_budget: CheckBudget::new(now, config.signature_checks_per_s),
            arriving: BTreeSet::new(),
            signatures_checked: 0,
        }
    }

    /// Installs new keys and a new revocation list, and clears the cache of verified tokens.
    ///
    /// # Errors
    /// [`KeyRing::update`] rejects the index. The previous keys and revocation list then stay in
    /// use.
    pub fn update(
        &mut self,
        now: Timestamp,
        index: &KeyIndex,
        public_keys: &BTreeMap<KeyId, PublicKey>,
        revoked: RevocationList,
    ) -> Result<(), KeyIndexError> {
        self.key_ring.update(now, index, public_keys)?;
        self.arriving.clear();
        self.revoked = revoked;
        self.cache.clear();
        Ok(())
    }

    /// Installs an index with the public keys that have arrived, and clears the cache of verified
    /// tokens. Returns the keys whose public keys have not arrived. Their tokens are retried rather
    /// than rejected, however old they are.
    ///
    /// # Errors
    /// [`KeyRing::update_received`] rejects the index. The previous keys then stay in use.
    pub fn update_keys(
        &mut self,
        now: Timestamp,
        index: &KeyIndex,
        received: &BTreeMap<KeyId, PublicKey>,
    ) -> Result<&BTreeSet<KeyId>, KeyIndexError> {
        self.arriving = self.key_ring.update_received(now, index, received)?;
        self.cache.clear();
        Ok(&self.arriving)
    }

    /// Installs a new revocation list, and returns whether it is in use. A list that may be partial
    /// is used only if it revokes all that is revoked already, so that nobody is accepted again
    /// because the rest of the list has not arrived.
    #[must_use]
    pub fn update_revocations(&mut self, revoked: RevocationList, extent: ListExtent) -> bool {
        let is_usable = extent == ListExtent::Complete || revoked.contains_all(&self.revoked);
        if is_usable {
            self.revoked = revoked;
        }
        is_usable
    }

    /// The number of cached tokens.
    #[must_use]
    pub fn cached_tokens(&self) -> usize {
        self.cache.len()
    }

    /// Verifies a token at the given time.
    pub fn verify(&mut self, now: Timestamp, token: &str) -> Authentication {
        self.key_ring.advance(now);
        let digest: TokenDigest = Sha256::digest(token.as_bytes()).into();
        if let Some(cached) = self.cache.get(now, &digest) {
            return self.authenticate(now, &cached);
        }
        let key_id = match token::unverified_key_id(token) {
            Ok(key_id) => key_id,
            Err(error) => return Authentication::Rejected(error.into()),
        };
        match self.key_ring.state(now, &key_id) {
            KeyState::Unknown if self.arriving.contains(&key_id) => Authentication::RetryLater {
                retry_after: self.config.retry_after,
            },
            KeyState::Unknown => self.unusable_key(now, token, TokenRejection::UnknownKey),
            // The signer already uses the key, but this gateway has older key files or its clock is
            // slow.
            KeyState::Announced => self.unusable_key(now, token, TokenRejection::KeyNotSigningYet),
            KeyState::Withdrawn => Authentication::Rejected(TokenRejection::KeyWithdrawn),
            KeyState::Signing | KeyState::Retiring => {
                self.check_signature(now, token, key_id, digest)
            }
        }
    }

    fn check_signature(
        &mut self,
        now: Timestamp,
        token: &str,
        key_id: KeyId,
        digest: TokenDigest,
    ) -> Authentication {
        if !self.check_budget.try_take(now) {
            return Authentication::RetryLater {
                retry_after: self.config.retry_after,
            };
        }
        self.signatures_checked += 1;
        let Some(public) = self.key_ring.public_key(&key_id) else {
            return Authentication::Rejected(TokenRejection::UnknownKey);
        };
        let claims = match token::verify(token, public) {
            Ok(claims) => claims,
            Err(error) => return Authentication::Rejected(error.into()),
        };
        self.check_budget.refund();
        let verified = VerifiedToken {
            key_id: Arc::new(key_id),
            claims: Arc::new(claims),
        };
        let authentication = self.authenticate(now, &verified);
        if let Authentication::Accepted { valid_until, .. } = authentication {
            self.cache.insert(now, digest, verified, valid_until);
        }
        authentication
    }

    /// The result for a token whose key does not sign yet according to this gateway's key files.
    /// The issue time of the token is unverified, but a forged time only results in a request to
    /// retry.
    fn unusable_key(
        &self,
        now: Timestamp,
        token: &str,
        rejection: TokenRejection,
    ) -> Authentication {
        let plausible_age = -self.config.clock_skew.secs()..=self.config.key_arrival_grace.secs();
        let is_recent = token::unverified_issue_time(token)
            .is_some_and(|issued| plausible_age.contains(&(now - issued).secs()));
        if is_recent {
            return Authentication::RetryLater {
                retry_after: self.config.retry_after,
            };
        }
        Authentication::Rejected(rejection)
    }

    /// The result for a token whose signature was verified.
    fn authenticate(&self, now: Timestamp, token: &VerifiedToken) -> Authentication {
        if let Some(rejection) = self.revocation(now, token) {
            return Authentication::Rejected(rejection);
        }
        let claims = &token.claims;
        if claims.lifetime_s() > self.config.max_token_lifetime.secs() {
            return Authentication::Rejected(TokenRejection::LifetimeTooLong);
        }
        let validity = claims.validity(self.config.clock_skew);
        if now >= validity.end {
            return Authentication::Rejected(TokenRejection::Expired);
        }
        if now < validity.start {
            return Authentication::RetryLater {
                retry_after: (validity.start - now).min(self.config.retry_after),
            };
        }
        let issued = Timestamp::from_secs(claims.issued_s);
        let key_id = &token.key_id;
        if !self
            .key_ring
            .was_signing(key_id, issued, self.config.clock_skew)
        {
            return Authentication::Rejected(TokenRejection::KeyNotSigningAtIssue);
        }
        let valid_until = match self.key_ring.withdrawal(key_id) {
            Some(withdrawal) => validity.end.min(withdrawal),
            None => validity.end,
        };
        Authentication::Accepted {
            claims: claims.clone(),
            valid_until,
        }
    }

    /// Returns why the token is revoked: by its key, its ID or its caller. Returns `None` if it is
    /// not.
    fn revocation(&self, now: Timestamp, token: &VerifiedToken) -> Option<TokenRejection> {
        if self.key_ring.state(now, &token.key_id) == KeyState::Withdrawn {
            return Some(TokenRejection::KeyWithdrawn);
        }
        if self
            .revoked
            .contains(RevokedSubject::Token, &token.claims.id)
        {
            return Some(TokenRejection::TokenRevoked);
        }
        if self
            .revoked
            .contains(RevokedSubject::Caller, &token.claims.caller)
        {
            return Some(TokenRejection::CallerRevoked);
        }
        None
    }
}
