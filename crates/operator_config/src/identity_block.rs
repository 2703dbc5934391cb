//! `identity`: callers by token within TLS.

use std::path::PathBuf;

use admission::interface::TimeDelta;
use identity::Terms;
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
    pub terms: Terms,
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
        let plain = Terms::default();
        let terms = Terms {
            skew: span("skew_ms", self.skew_ms, plain.skew, 0.0, 600_000.0)?,
            grace: span("grace_ms", self.grace_ms, plain.grace, 0.0, 600_000.0)?,
            back: span("back_ms", self.back_ms, plain.back, 1.0, 60_000.0)?,
            longest: span(
                "longest_token_ms",
                self.longest_token_ms,
                plain.longest,
                1000.0,
                3.2e10,
            )?,
            cached_verdicts: within(
                "remembered",
                self.cached_verdicts,
                plain.cached_verdicts as f64,
                0.0,
                1e6,
            )? as usize,
            checks_per_s: within(
                "checks_per_s",
                self.checks_per_s,
                plain.checks_per_s,
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
