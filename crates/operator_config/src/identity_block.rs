//! `identity`: callers by token within TLS.

use std::path::PathBuf;

use admission::interface::TimeDelta;
use identity::VerifierConfig;
use serde::Deserialize;

use crate::{Fault, fault, yes};

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    #[serde(default = "yes")]
    enabled: bool,
    keys_folder: PathBuf,
    certificate: PathBuf,
    private_key: PathBuf,
    skew_ms: Option<f64>,
    grace_ms: Option<f64>,
    back_ms: Option<f64>,
    longest_token_ms: Option<f64>,
    #[serde(rename = "remembered")]
    cached_verdicts: Option<f64>,
    checks_per_s: Option<f64>,
}

/// Files and terms by which callers are known.
#[derive(Clone, Debug, PartialEq)]
pub struct Callers {
    pub keys_folder: PathBuf,
    /// PEM: the chain, and its private key.
    pub certificate: PathBuf,
    pub private_key: PathBuf,
    pub terms: VerifierConfig,
}

impl Identity {
    /// # Errors
    /// A field that cannot be used.
    pub fn callers(self) -> Result<Option<Callers>, Fault> {
        let within = |name: &str, value: Option<f64>, default: f64, least: f64, most: f64| {
            let value = value.unwrap_or(default);
            let usable = (least..=most).contains(&value);
            let why = || {
                fault(
                    &["identity", name],
                    format!("{value} is not between {least} and {most}"),
                )
            };
            if usable { Ok(value) } else { Err(why()) }
        };
        let span = |name, value, default: TimeDelta, least, most| {
            within(name, value, default.secs() * 1e3, least, most)
                .map(|ms| TimeDelta::from_secs(ms / 1e3))
        };
        let plain = VerifierConfig::default();
        let terms = VerifierConfig {
            clock_skew: span("skew_ms", self.skew_ms, plain.clock_skew, 0.0, 600_000.0)?,
            key_arrival_grace: span(
                "grace_ms",
                self.grace_ms,
                plain.key_arrival_grace,
                0.0,
                600_000.0,
            )?,
            retry_after: span("back_ms", self.back_ms, plain.retry_after, 1.0, 60_000.0)?,
            max_token_lifetime: span(
                "longest_token_ms",
                self.longest_token_ms,
                plain.max_token_lifetime,
                1000.0,
                3.2e10,
            )?,
            max_cached_tokens: within(
                "remembered",
                self.cached_verdicts,
                plain.max_cached_tokens as f64,
                0.0,
                1e6,
            )? as usize,
            signature_checks_per_s: within(
                "checks_per_s",
                self.checks_per_s,
                plain.signature_checks_per_s,
                1.0,
                1e6,
            )?,
        };
        let Identity {
            enabled,
            keys_folder,
            certificate,
            private_key,
            ..
        } = self;
        Ok(enabled.then_some(Callers {
            keys_folder,
            certificate,
            private_key,
            terms,
        }))
    }
}
