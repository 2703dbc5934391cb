//! Tokens in the PASETO v4.public format (Ed25519), with the key ID in the footer. The format
//! version fixes the algorithm, so a token cannot choose how it is verified.

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

/// The maximum length of a token, in bytes. A longer token is rejected before it is parsed.
pub const MAX_TOKEN_LEN: usize = 4096;
/// The maximum length of a caller's name, in bytes.
const MAX_CALLER_LEN: usize = 128;
/// The maximum length of a token ID, in bytes.
const MAX_TOKEN_ID_LEN: usize = 64;
/// The implicit assertion of PASETO. It prevents a token that the same key signed for another
/// service from being accepted.
const IMPLICIT_ASSERTION: &[u8] = b"laurelhitch statements";

/// An Ed25519 secret key followed by its public key.
pub type SecretKey = [u8; 64];

/// The claims of a token. A token with an unknown claim is rejected. Times are in Unix seconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claims {
    /// The name of the caller.
    pub caller: String,
    /// The ID of the token, by which it can be revoked.
    pub id: String,
    /// The time when the token was signed.
    pub issued_s: f64,
    /// The time from which the token is valid.
    pub not_before_s: f64,
    /// The time at which the token expires.
    pub expires_s: f64,
    /// The permissions of the caller.
    pub grant: Grant,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Footer {
    #[serde(rename = "kid")]
    key_id: KeyId,
}

/// A key pair. The secret key is erased from memory when it is dropped.
pub struct KeyPair {
    /// The key that signs tokens.
    pub secret: Zeroizing<SecretKey>,
    /// The key that verifies tokens.
    pub public: PublicKey,
}

/// A token is invalid, or could not be signed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum TokenError {
    /// The token is longer than [`MAX_TOKEN_LEN`].
    #[error("too long")]
    TooLong,
    /// The text is not a PASETO v4.public token with a key ID.
    #[error("no token of this form")]
    Malformed,
    /// The signature is invalid, or a key cannot be used or generated.
    #[error("its signature does not hold")]
    InvalidSignature,
    /// The claims are unknown, out of bounds or inconsistent.
    #[error("its claims cannot be used")]
    InvalidClaims,
}

/// Reads the key ID of a token without verifying the signature.
///
/// # Errors
/// The text is too long or not a token.
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

/// Reads the claims of a token without verifying the signature. The claims may be forged.
///
/// # Errors
/// The text is not a token, or its claims cannot be parsed.
pub fn unverified_claims(token: &str) -> Result<Claims, TokenError> {
    let untrusted = parse(token)?;
    serde_json::from_slice(untrusted.untrusted_payload()).map_err(|_| TokenError::InvalidClaims)
}

/// Reads the issue time of a token without verifying the signature. The time may be forged, so it
/// is used only to choose between rejecting the token and asking its bearer to retry. Returns
/// `None` if the token has no readable issue time.
#[must_use]
pub fn unverified_issue_time(token: &str) -> Option<Timestamp> {
    let issued_s = unverified_claims(token).ok()?.issued_s;
    issued_s.is_finite().then(|| Timestamp::from_secs(issued_s))
}

/// Verifies the signature of a token, validates its claims and returns them. It does not check
/// whether the token is valid at the current time.
///
/// # Errors
/// The text is not a token, the signature was not made by this key, or the claims are invalid.
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

/// Signs claims and returns the token, which contains the key ID.
///
/// # Errors
/// The claims cannot be serialized, the token is too long, or the key cannot be used.
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

/// Generates a new key pair.
///
/// # Errors
/// The system's random number generator fails.
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
    /// The time range in which the token is valid, extended at both ends by `skew`.
    #[must_use]
    pub fn validity(&self, skew: TimeDelta) -> Range<Timestamp> {
        let start = Timestamp::from_secs(self.not_before_s) + (TimeDelta::ZERO - skew);
        let end = Timestamp::from_secs(self.expires_s) + skew;
        start..end
    }

    /// The length of the token's validity, in seconds, without tolerance for clock skew.
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
