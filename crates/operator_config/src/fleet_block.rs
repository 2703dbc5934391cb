//! `fleet`: gateways that know each other.

use std::net::SocketAddr;
use std::path::PathBuf;

use admission::interface::TimeDelta;
use membership::{Config, Locality, Name, TrafficLimits};
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
    /// Limits on what a large fleet sends; the five below stand with it only.
    #[serde(default)]
    bounded: bool,
    confirmations: Option<f64>,
    verifiers: Option<f64>,
    direct_probes: Option<f64>,
    gossip_bytes_per_s: Option<f64>,
    exchange_bytes_per_s: Option<f64>,
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
    pub place: Locality,
    pub paces: Config,
}

impl Fleet {
    /// # Errors
    /// A field that cannot be used.
    pub fn terms(self) -> Result<Option<FleetTerms>, Fault> {
        let span = |name, value, default: TimeDelta, least, most| {
            within(name, value, default.secs() * 1e3, least, most)
                .map(|ms| TimeDelta::from_secs(ms / 1e3))
        };
        let named =
            |field: &str, text: &str| Name::new(text).map_err(|why| fault(&["fleet", field], why));
        let place = |field: &str, text: &Option<String>| {
            text.as_ref().map(|text| named(field, text)).transpose()
        };
        let plain = Config::default();
        let period = span(
            "period_ms",
            self.period_ms,
            plain.probe_period,
            50.0,
            60_000.0,
        )?;
        let answer = span(
            "answer_ms",
            self.answer_ms,
            plain.probe_timeout,
            5.0,
            30_000.0,
        )?;
        if answer.secs() * 2.0 > period.secs() {
            let why = "others need as long again to ask in its place: at most half of period_ms";
            return Err(fault(&["fleet", "answer_ms"], why));
        }
        let advertise = self.advertise.unwrap_or(self.bind);
        if advertise.ip().is_unspecified() || advertise.port() == 0 {
            let why = format!("{advertise} is no address at which others reach this gateway");
            return Err(fault(&["fleet", "advertise"], why));
        }
        let paces = Config {
            probe_period: period,
            probe_timeout: answer,
            indirect_probes: within(
                "helpers",
                self.helpers,
                plain.indirect_probes as f64,
                0.0,
                16.0,
            )? as usize,
            max_byzantine: within("liars", self.liars, plain.max_byzantine as f64, 0.0, 7.0)?
                as usize,
            suspicion_multiplier: within(
                "suspicion_periods",
                self.suspicion_periods,
                plain.suspicion_multiplier,
                1.0,
                100.0,
            )?,
            max_suspicion_factor: within(
                "patience",
                self.patience,
                plain.max_suspicion_factor,
                1.0,
                20.0,
            )?,
            max_members: within(
                "most_gateways",
                self.most_gateways,
                plain.max_members as f64,
                2.0,
                8192.0,
            )? as usize,
            dead_retention: span(
                "keep_gone_ms",
                self.keep_gone_ms,
                plain.dead_retention,
                1000.0,
                8.64e7,
            )?,
            partition_threshold: within(
                "cut_off_below",
                self.cut_off_below,
                plain.partition_threshold,
                0.0,
                1.0,
            )?,
            partition_acceptance: span(
                "accept_ms",
                self.accept_ms,
                plain.partition_acceptance,
                1000.0,
                8.64e7,
            )?,
            min_view_state_duration: span(
                "hold_ms",
                self.hold_ms,
                plain.min_view_state_duration,
                0.0,
                600_000.0,
            )?,
            engine_report_lifetime: span(
                "news_lasts_ms",
                self.news_lasts_ms,
                plain.engine_report_lifetime,
                100.0,
                600_000.0,
            )?,
            traffic_limits: self.bounds()?,
            ..plain
        };
        let terms = FleetTerms {
            fleet: named("fleet", &self.fleet)?,
            name: place("name", &self.name)?,
            bind: self.bind,
            advertise,
            seeds: self.seeds,
            keys_folder: self.keys_folder,
            place: Locality {
                zone: place("zone", &self.zone)?,
                region: place("region", &self.region)?,
            },
            paces,
        };
        Ok(self.enabled.then_some(terms))
    }

    fn bounds(&self) -> Result<Option<TrafficLimits>, Fault> {
        let given = [
            ("confirmations", self.confirmations),
            ("verifiers", self.verifiers),
            ("direct_probes", self.direct_probes),
            ("gossip_bytes_per_s", self.gossip_bytes_per_s),
            ("exchange_bytes_per_s", self.exchange_bytes_per_s),
        ];
        if !self.bounded {
            let first = given.iter().find(|(_, value)| value.is_some());
            let needs =
                |(name, _): &(&str, _)| Err(fault(&["fleet", name], "it needs bounded = true"));
            return first.map_or(Ok(None), needs);
        }
        let [confirmations, verifiers, direct_probes, gossip, exchange] = given;
        let plain = TrafficLimits::default();
        let count = |(name, value), default: usize, least, most| {
            within(name, value, default as f64, least, most).map(|value| value as usize)
        };
        Ok(Some(TrafficLimits {
            confirmations: count(confirmations, plain.confirmations, 0.0, 20.0)?,
            verifiers: count(verifiers, plain.verifiers, 1.0, 64.0)?,
            direct_probes: count(direct_probes, plain.direct_probes, 1.0, 256.0)?,
            gossip_bytes_per_s: within(gossip.0, gossip.1, plain.gossip_bytes_per_s, 200.0, 1e6)?,
            exchange_bytes_per_s: within(
                exchange.0,
                exchange.1,
                plain.exchange_bytes_per_s,
                100.0,
                1e6,
            )?,
        }))
    }
}

/// A value of the block, or its default; refused outside its range.
fn within(
    name: &str,
    value: Option<f64>,
    default: f64,
    least: f64,
    most: f64,
) -> Result<f64, Fault> {
    let value = value.unwrap_or(default);
    let why = || {
        fault(
            &["fleet", name],
            format!("{value} is not between {least} and {most}"),
        )
    };
    if (least..=most).contains(&value) {
        Ok(value)
    } else {
        Err(why())
    }
}
