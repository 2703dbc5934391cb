//! Authentication by token: whether a token is accepted now, may be later, or is rejected, and why.

use std::collections::BTreeMap;
use std::sync::Arc;

use admission::interface::{TimeDelta, Timestamp};
use sha2::{Digest as _, Sha256};
use thiserror::Error;

use crate::key_index::{KeyId, KeyIndex, KeyIndexError, KeyState};
use crate::key_ring::{KeyRing, PublicKey};
use crate::revocation::{RevocationList, RevokedSubject};
use crate::token::{self, Claims, TokenError};
use crate::token_cache::{TokenCache, TokenDigest, VerifiedToken};

/// Bounds and times of verification.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VerifierConfig {
    /// How far clocks may differ.
    pub clock_skew: TimeDelta,
    /// How long after its issue a token may be early because its key has not arrived here yet.
    pub key_arrival_grace: TimeDelta,
    /// After what time a client whose token is early tries again.
    pub retry_after: TimeDelta,
    /// Longest lifetime of a token.
    pub max_token_lifetime: TimeDelta,
    /// Verified tokens that are kept.
    pub max_cached_tokens: usize,
    /// Signatures checked a second, not counting those that verify; bearers of further tokens try again later.
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

/// Why a token is rejected for good. Clients read these texts.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum TokenRejection {
    /// It is not a token, its signature does not verify, or its claims cannot be used.
    #[error("token: {0}")]
    Invalid(#[from] TokenError),
    /// Its key is in none of the files here.
    #[error("token: its key is not known here")]
    UnknownKey,
    /// Its key is withdrawn.
    #[error("token: its key is withdrawn")]
    KeyWithdrawn,
    /// Its key is announced and signs later.
    #[error("token: its key signs nothing yet")]
    KeyNotSigningYet,
    /// Its key was not signing when it was issued.
    #[error("token: issued when its key signed nothing")]
    KeyNotSigningAtIssue,
    /// Its time is over.
    #[error("token: it is expired")]
    Expired,
    /// Its lifetime exceeds the longest.
    #[error("token: it holds too long")]
    LifetimeTooLong,
    /// It is on the revocation list.
    #[error("token: it is revoked")]
    TokenRevoked,
    /// Its caller is on the revocation list.
    #[error("token: its caller is revoked")]
    CallerRevoked,
}

/// The result of verifying a token.
#[derive(Clone, Debug, PartialEq)]
pub enum Authentication {
    /// The caller is who the claims say.
    Accepted {
        /// What the token says.
        claims: Arc<Claims>,
        /// The token is accepted until then at the longest.
        valid_until: Timestamp,
    },
    /// It may be accepted later; its bearer is not at fault.
    RetryLater {
        /// Try again after this time.
        retry_after: TimeDelta,
    },
    /// It will not be accepted.
    Rejected(TokenRejection),
}

/// A token bucket of signature checks: those that verify are refunded, so that a flood of forged tokens takes a bounded
/// part of the time of all.
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

    /// Takes one check; false: there is none left.
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
    /// Signatures checked since the start.
    pub signatures_checked: u64,
}

impl TokenVerifier {
    /// A verifier without keys, which accepts nothing.
    #[must_use]
    pub fn new(now: Timestamp, config: VerifierConfig) -> Self {
        TokenVerifier {
            config,
            key_ring: KeyRing::default(),
            revoked: RevocationList::default(),
            cache: TokenCache::new(config.max_cached_tokens),
            check_budget: CheckBudget::new(now, config.signature_checks_per_s),
            signatures_checked: 0,
        }
    }

    /// Takes over new key files, completely or not at all. Nothing that was verified by the old ones is kept.
    ///
    /// # Errors
    /// As [`KeyRing::update`]; nothing has changed then.
    pub fn update(
        &mut self,
        now: Timestamp,
        index: &KeyIndex,
        public_keys: &BTreeMap<KeyId, PublicKey>,
        revoked: RevocationList,
    ) -> Result<(), KeyIndexError> {
        self.key_ring.update(now, index, public_keys)?;
        self.revoked = revoked;
        self.cache.clear();
        Ok(())
    }

    /// Verified tokens that are kept at present.
    #[must_use]
    pub fn cached_tokens(&self) -> usize {
        self.cache.len()
    }

    /// Whether a token is accepted now.
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
            KeyState::Unknown => self.key_not_here(now, token, TokenRejection::UnknownKey),
            // The signer has files in which the key signs; this gateway does not yet, or its clock is behind.
            KeyState::Announced => self.key_not_here(now, token, TokenRejection::KeyNotSigningYet),
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

    /// The result for a token that names a key which does not sign here. The token's age is its own unchecked word; a lie
    /// about it earns no more than to be told to try again.
    fn key_not_here(
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

    /// The result for a token whose signature verifies.
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

    /// Why nothing by this key, of this id or of this caller is accepted; none: it may be.
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
