//! Tokens: PASETO v4.public (Ed25519), with the key's id in the footer. The version fixes the one algorithm, so that
//! nothing in a token chooses how it is checked.

use std::ops::Range;

use admission::interface::{TimeDelta, Timestamp};
use pasetors::Public;
use pasetors::keys::{AsymmetricKeyPair, AsymmetricPublicKey, AsymmetricSecretKey, Generate};
use pasetors::token::UntrustedToken;
use pasetors::version4::{PublicToken, V4};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use zeroize::Zeroizing;

use crate::grant::Grant;
use crate::key_index::KeyId;
use crate::key_ring::PublicKey;

/// Longest token in bytes; a longer one is rejected unread.
pub const MAX_TOKEN_LEN: usize = 4096;
/// Longest name of a caller, in bytes.
const MAX_CALLER_LEN: usize = 128;
/// Longest id of a token, in bytes.
const MAX_TOKEN_ID_LEN: usize = 64;
/// PASETO's implicit assertion: a token made for another service with the same key does not verify here.
const IMPLICIT_ASSERTION: &[u8] = b"laurelhitch statements";

/// An Ed25519 secret key with its public half.
pub type SecretKey = [u8; 64];

/// What a token says. Every claim is critical: a token with any further one is rejected. Times are Unix seconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claims {
    /// The name of the caller.
    pub caller: String,
    /// Names this one token, for revocation.
    pub id: String,
    /// When it was signed.
    pub issued_s: f64,
    /// It is valid from then on.
    pub not_before_s: f64,
    /// It is valid until then.
    pub expires_s: f64,
    /// What the caller may run.
    pub grant: Grant,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Footer {
    #[serde(rename = "kid")]
    key_id: KeyId,
}

/// A new key: its secret half is wiped from memory when dropped.
pub struct KeyPair {
    /// Signs tokens.
    pub secret: Zeroizing<SecretKey>,
    /// Verifies them.
    pub public: PublicKey,
}

/// Why a text is not a token that can be used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum TokenError {
    /// It is longer than [`MAX_TOKEN_LEN`].
    #[error("too long")]
    TooLong,
    /// It is not a PASETO v4.public token with a key id.
    #[error("no token of this form")]
    Malformed,
    /// Its signature does not verify, or a key cannot be used.
    #[error("its signature does not hold")]
    InvalidSignature,
    /// Its claims are unknown, out of bounds or contradict each other.
    #[error("its claims cannot be used")]
    InvalidClaims,
}

/// The id of the key that a token names, without checking its signature.
///
/// # Errors
/// It is too long, or not a token.
pub fn unverified_key_id(token: &str) -> Result<KeyId, TokenError> {
    let untrusted = parse(token)?;
    let footer: Footer =
        serde_json::from_slice(untrusted.untrusted_footer()).map_err(|_| TokenError::Malformed)?;
    Ok(footer.key_id)
}

fn parse(token: &str) -> Result<UntrustedToken<Public, V4>, TokenError> {
    if token.len() > MAX_TOKEN_LEN {
        return Err(TokenError::TooLong);
    }
    UntrustedToken::<Public, V4>::try_from(token).map_err(|_| TokenError::Malformed)
}

/// What a token says, without checking its signature: anybody could have written it.
///
/// # Errors
/// It is not a token, or its claims cannot be read.
pub fn unverified_claims(token: &str) -> Result<Claims, TokenError> {
    let untrusted = parse(token)?;
    serde_json::from_slice(untrusted.untrusted_payload()).map_err(|_| TokenError::InvalidClaims)
}

/// When a token says that it was issued, without checking its signature. It only decides between rejecting its bearer
/// and asking for a retry; none: it does not say.
#[must_use]
pub fn unverified_issue_time(token: &str) -> Option<Timestamp> {
    let issued_s = unverified_claims(token).ok()?.issued_s;
    issued_s.is_finite().then(|| Timestamp::from_secs(issued_s))
}

/// Checks a token's signature and the form of its claims, and returns them. Whether it is valid now is not checked.
///
/// # Errors
/// The signature does not verify under this key, or the claims cannot be used.
pub fn verify(token: &str, public: &PublicKey) -> Result<Claims, TokenError> {
    let untrusted = parse(token)?;
    let key = AsymmetricPublicKey::<V4>::from(public).map_err(|_| TokenError::InvalidSignature)?;
    let footer = untrusted.untrusted_footer().to_vec();
    let trusted = PublicToken::verify(&key, &untrusted, Some(&footer), Some(IMPLICIT_ASSERTION))
        .map_err(|_| TokenError::InvalidSignature)?;
    let claims: Claims =
        serde_json::from_str(trusted.payload()).map_err(|_| TokenError::InvalidClaims)?;
    if claims.are_valid() {
        Ok(claims)
    } else {
        Err(TokenError::InvalidClaims)
    }
}

/// Signs claims as a token that names its key.
///
/// # Errors
/// The claims cannot be written or make it too long, or the key cannot be used.
pub fn sign(claims: &Claims, key_id: &KeyId, secret: &SecretKey) -> Result<String, TokenError> {
    let message = serde_json::to_vec(claims).map_err(|_| TokenError::InvalidClaims)?;
    let footer = Footer {
        key_id: key_id.clone(),
    };
    let footer = serde_json::to_vec(&footer).map_err(|_| TokenError::InvalidClaims)?;
    let key = AsymmetricSecretKey::<V4>::from(secret).map_err(|_| TokenError::InvalidSignature)?;
    let token = PublicToken::sign(&key, &message, Some(&footer), Some(IMPLICIT_ASSERTION))
        .map_err(|_| TokenError::InvalidSignature)?;
    if token.len() > MAX_TOKEN_LEN {
        return Err(TokenError::TooLong);
    }
    Ok(token)
}

/// Makes a new key pair.
///
/// # Errors
/// The machine gives no randomness.
pub fn generate_key_pair() -> Result<KeyPair, TokenError> {
    let pair = AsymmetricKeyPair::<V4>::generate().map_err(|_| TokenError::InvalidSignature)?;
    let secret: SecretKey = pair
        .secret
        .as_bytes()
        .try_into()
        .map_err(|_| TokenError::InvalidSignature)?;
    let public: PublicKey = pair
        .public
        .as_bytes()
        .try_into()
        .map_err(|_| TokenError::InvalidSignature)?;
    Ok(KeyPair {
        secret: Zeroizing::new(secret),
        public,
    })
}

impl Claims {
    /// When the token is valid, widened at both ends by the skew of clocks.
    #[must_use]
    pub fn validity(&self, skew: TimeDelta) -> Range<Timestamp> {
        let start = Timestamp::from_secs(self.not_before_s) + (TimeDelta::ZERO - skew);
        let end = Timestamp::from_secs(self.expires_s) + skew;
        start..end
    }

    /// The time for which it is valid.
    #[must_use]
    pub fn lifetime_s(&self) -> f64 {
        self.expires_s - self.not_before_s
    }

    fn are_valid(&self) -> bool {
        let times = [self.issued_s, self.not_before_s, self.expires_s];
        let are_times = times.iter().all(|secs| secs.is_finite() && *secs >= 0.0);
        let is_valid_at_some_time = self.not_before_s < self.expires_s;
        let has_names = (1..=MAX_CALLER_LEN).contains(&self.caller.len())
            && (1..=MAX_TOKEN_ID_LEN).contains(&self.id.len());
        are_times && is_valid_at_some_time && has_names && self.grant.is_valid()
    }
}
