//! The block `identity`: authentication of clients by token over TLS.

use std::path::PathBuf;

use identity::VerifierConfig;
use serde::Deserialize;

use crate::block::{BlockPath, enabled_by_default};
use crate::error::FieldError;

/// The block as it stands in the file, before validation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct IdentityBlock {
    #[serde(default = "enabled_by_default")]
    enabled: bool,
    keys_folder: PathBuf,
    certificate: PathBuf,
    private_key: PathBuf,
    skew_ms: Option<f64>,
    grace_ms: Option<f64>,
    back_ms: Option<f64>,
    longest_token_ms: Option<f64>,
    remembered: Option<f64>,
    checks_per_s: Option<f64>,
}

/// The validated configuration of client authentication. It names files but
/// does not read them; the gateway does.
#[derive(Clone, Debug, PartialEq)]
pub struct IdentityConfig {
    /// The folder of the public keys that verify tokens.
    pub keys_folder: PathBuf,
    /// The PEM file with the server's certificate chain.
    pub certificate: PathBuf,
    /// The PEM file with the private key of the certificate.
    pub private_key: PathBuf,
    /// The limits and durations of token verification.
    pub verifier: VerifierConfig,
}

impl IdentityBlock {
    /// Checks the block. Returns `None` if it is disabled.
    ///
    /// # Errors
    /// A field has an invalid value.
    pub(crate) fn check(self) -> Result<Option<IdentityConfig>, FieldError> {
        let verifier = self.verifier()?;
        let config = IdentityConfig {
            keys_folder: self.keys_folder,
            certificate: self.certificate,
            private_key: self.private_key,
            verifier,
        };
        Ok(self.enabled.then_some(config))
    }

    fn verifier(&self) -> Result<VerifierConfig, FieldError> {
        let block = BlockPath::new(&["identity"]);
        let default = VerifierConfig::default();
        Ok(VerifierConfig {
            clock_skew: block.millis(
                "skew_ms",
                self.skew_ms,
                default.clock_skew,
                0.0..=600_000.0,
            )?,
            key_arrival_grace: block.millis(
                "grace_ms",
                self.grace_ms,
                default.key_arrival_grace,
                0.0..=600_000.0,
            )?,
            retry_after: block.millis(
                "back_ms",
                self.back_ms,
                default.retry_after,
                1.0..=60_000.0,
            )?,
            max_token_lifetime: block.millis(
                "longest_token_ms",
                self.longest_token_ms,
                default.max_token_lifetime,
                1000.0..=3.2e10,
            )?,
            max_cached_tokens: block.count(
                "remembered",
                self.remembered,
                default.max_cached_tokens,
                0.0..=1e6,
            )?,
            signature_checks_per_s: block.number(
                "checks_per_s",
                self.checks_per_s,
                default.signature_checks_per_s,
                1.0..=1e6,
            )?,
        })
    }
}
