//! Tokens: PASETO v4.public (Ed25519), with the key's name in the footer. One algorithm by version, so that nothing in a
//! token chooses how it is checked.

use admission::interface::{TimeDelta, Timestamp};
use pasetors::Public;
use pasetors::keys::{AsymmetricKeyPair, AsymmetricPublicKey, AsymmetricSecretKey, Generate};
use pasetors::token::UntrustedToken;
use pasetors::version4::{PublicToken, V4};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use zeroize::Zeroizing;

use crate::grants::Grant;
use crate::keys::KeyId;

/// Longer ones are refused unread.
pub const LONGEST: usize = 4096;
/// Ties tokens to this program: one made for another service with the same key is none here.
const PURPOSE: &[u8] = b"laurelhitch statements";

/// What a token says; any further claim is critical, and refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claims {
    pub caller: String,
    /// Names this one token, for revocation.
    pub id: String,
    pub issued_s: f64,
    pub not_before_s: f64,
    pub expires_s: f64,
    pub grant: Grant,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Footer {
    kid: KeyId,
}

#[derive(Clone, Copy, Debug, Error, PartialEq, Eq, PartialOrd, Ord)]
pub enum TokenError {
    #[error("too long")]
    Long,
    #[error("no token of this form")]
    Form,
    #[error("its signature does not hold")]
    Signature,
    #[error("its claims cannot be used")]
    Claims,
}

/// The name of the key that a token claims, unchecked.
///
/// # Errors
/// It is too long, or no token.
pub fn key_of(token: &str) -> Result<KeyId, TokenError> {
    let untrusted = untrusted(token)?;
    let footer: Footer =
        serde_json::from_slice(untrusted.untrusted_footer()).map_err(|_| TokenError::Form)?;
    Ok(footer.kid)
}

fn untrusted(token: &str) -> Result<UntrustedToken<Public, V4>, TokenError> {
    if token.len() > LONGEST {
        return Err(TokenError::Long);
    }
    UntrustedToken::<Public, V4>::try_from(token).map_err(|_| TokenError::Form)
}

/// What a token says of itself; anybody can say anything.
///
/// # Errors
/// It is no token, or its claims are none.
pub fn claims_unchecked(token: &str) -> Result<Claims, TokenError> {
    serde_json::from_slice(untrusted(token)?.untrusted_payload()).map_err(|_| TokenError::Claims)
}

/// When a token was issued, by its own unchecked word: only for whether to ask again is it used.
pub fn issued_unchecked(token: &str) -> Option<Timestamp> {
    let claims = claims_unchecked(token).ok()?;
    claims
        .issued_s
        .is_finite()
        .then(|| Timestamp::from_secs(claims.issued_s))
}

/// # Errors
/// The signature does not hold under this key, or the claims cannot be used.
pub fn open(token: &str, public: &[u8; 32]) -> Result<Claims, TokenError> {
    let untrusted = untrusted(token)?;
    let key = AsymmetricPublicKey::<V4>::from(public).map_err(|_| TokenError::Signature)?;
    let footer = untrusted.untrusted_footer().to_vec();
    let trusted = PublicToken::verify(&key, &untrusted, Some(&footer), Some(PURPOSE));
    let trusted = trusted.map_err(|_| TokenError::Signature)?;
    let claims: Claims = serde_json::from_str(trusted.payload()).map_err(|_| TokenError::Claims)?;
    let times = [claims.issued_s, claims.not_before_s, claims.expires_s];
    let sound = times.iter().all(|at| at.is_finite() && *at >= 0.0)
        && claims.not_before_s < claims.expires_s;
    let named = (1..=128).contains(&claims.caller.len()) && (1..=64).contains(&claims.id.len());
    if sound && named && claims.grant.usable() {
        Ok(claims)
    } else {
        Err(TokenError::Claims)
    }
}

/// # Errors
/// The claims cannot be written, or the key is none.
pub fn sign(claims: &Claims, id: &KeyId, secret: &[u8; 64]) -> Result<String, TokenError> {
    let message = serde_json::to_vec(claims).map_err(|_| TokenError::Claims)?;
    let footer = serde_json::to_vec(&Footer { kid: id.clone() }).map_err(|_| TokenError::Claims)?;
    let key = AsymmetricSecretKey::<V4>::from(secret).map_err(|_| TokenError::Signature)?;
    let token = PublicToken::sign(&key, &message, Some(&footer), Some(PURPOSE));
    let token = token.map_err(|_| TokenError::Signature)?;
    if token.len() > LONGEST {
        Err(TokenError::Long)
    } else {
        Ok(token)
    }
}

/// A fresh pair: the secret half and the public one.
///
/// # Errors
/// The machine gives no randomness.
pub fn fresh() -> Result<(Zeroizing<[u8; 64]>, [u8; 32]), TokenError> {
    let pair = AsymmetricKeyPair::<V4>::generate().map_err(|_| TokenError::Signature)?;
    let secret = pair
        .secret
        .as_bytes()
        .try_into()
        .map_err(|_| TokenError::Signature)?;
    let public = pair
        .public
        .as_bytes()
        .try_into()
        .map_err(|_| TokenError::Signature)?;
    Ok((Zeroizing::new(secret), public))
}

impl Claims {
    /// From when and until when it holds, with this much given for clocks that differ.
    pub fn holds(&self, skew: TimeDelta) -> (Timestamp, Timestamp) {
        let back = TimeDelta::ZERO - skew;
        (
            Timestamp::from_secs(self.not_before_s) + back,
            Timestamp::from_secs(self.expires_s) + skew,
        )
    }
}
