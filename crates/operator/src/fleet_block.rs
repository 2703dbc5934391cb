//! `fleet`: gateways that know each other.

use std::net::SocketAddr;
use std::path::PathBuf;

use admission::interface::Span;
use fleet::{Name, Place, Terms};
use serde::Deserialize;

use crate::{Fault, fault, yes};

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    #[serde(default = "yes")]
    enabled: bool,
    fleet: String,
    /// Without it, the configuration's name.
    name: Option<String>,
    bind: SocketAddr,
    advertise: Option<SocketAddr>,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    keys_folder: PathBuf,
    zone: Option<String>,
    region: Option<String>,
    period_ms: Option<f64>,
    answer_ms: Option<f64>,
    helpers: Option<f64>,
    liars: Option<f64>,
    suspicion_periods: Option<f64>,
    patience: Option<f64>,
    most_gateways: Option<f64>,
    keep_gone_ms: Option<f64>,
    cut_off_below: Option<f64>,
    accept_ms: Option<f64>,
    hold_ms: Option<f64>,
    news_lasts_ms: Option<f64>,
}

/// How gateways know each other, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetTerms {
    pub fleet: Name,
    /// None: the configuration's.
    pub name: Option<Name>,
    pub bind: SocketAddr,
    /// Where others reach it.
    pub advertise: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub keys_folder: PathBuf,
    pub place: Place,
    pub paces: Terms,
}

impl Fleet {
    /// # Errors
    /// A field that cannot be used.
    pub fn terms(self) -> Result<Option<FleetTerms>, Fault> {
        let within = |name: &str, value: Option<f64>, default: f64, least: f64, most: f64| {
            let value = value.unwrap_or(default);
            let usable = (least..=most).contains(&value);
            let why = || fault(&["fleet", name], format!("{value} is not between {least} and {most}"));
            if usable { Ok(value) } else { Err(why()) }
        };
        let span = |name, value, default: Span, least, most| {
            within(name, value, default.secs() * 1e3, least, most).map(|ms| Span::from_secs(ms / 1e3))
        };
        let named = |field: &str, text: &str| Name::new(text).map_err(|why| fault(&["fleet", field], why));
        let place =
            |field: &str, text: &Option<String>| text.as_ref().map(|text| named(field, text)).transpose();
        let plain = Terms::default();
        let period = span("period_ms", self.period_ms, plain.period, 50.0, 60_000.0)?;
        let answer = span("answer_ms", self.answer_ms, plain.answer, 5.0, 30_000.0)?;
        if answer.secs() * 2.0 > period.secs() {
            let why = "others need as long again to ask in its place: at most half of period_ms";
            return Err(fault(&["fleet", "answer_ms"], why));
        }
        let advertise = self.advertise.unwrap_or(self.bind);
        if advertise.ip().is_unspecified() || advertise.port() == 0 {
            let why = format!("{advertise} is no address at which others reach this gateway");
            return Err(fault(&["fleet", "advertise"], why));
        }
        let paces = Terms {
            period,
            answer,
            helpers: within("helpers", self.helpers, plain.helpers as f64, 0.0, 16.0)? as usize,
            liars: within("liars", self.liars, plain.liars as f64, 0.0, 7.0)? as usize,
            suspicion: within("suspicion_periods", self.suspicion_periods, plain.suspicion, 1.0, 100.0)?,
            patience: within("patience", self.patience, plain.patience, 1.0, 20.0)?,
            most: within("most_gateways", self.most_gateways, plain.most as f64, 2.0, 8192.0)? as usize,
            keep_gone: span("keep_gone_ms", self.keep_gone_ms, plain.keep_gone, 1000.0, 8.64e7)?,
            cut_off_below: within("cut_off_below", self.cut_off_below, plain.cut_off_below, 0.0, 1.0)?,
            accept: span("accept_ms", self.accept_ms, plain.accept, 1000.0, 8.64e7)?,
            hold: span("hold_ms", self.hold_ms, plain.hold, 0.0, 600_000.0)?,
            news_lasts: span("news_lasts_ms", self.news_lasts_ms, plain.news_lasts, 100.0, 600_000.0)?,
            ..plain
        };
        let terms = FleetTerms {
            fleet: named("fleet", &self.fleet)?,
            name: place("name", &self.name)?,
            bind: self.bind,
            advertise,
            seeds: self.seeds,
            keys_folder: self.keys_folder,
            place: Place { zone: place("zone", &self.zone)?, region: place("region", &self.region)? },
            paces,
        };
        Ok(self.enabled.then_some(terms))
    }
}
