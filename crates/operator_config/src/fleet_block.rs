//! The block `fleet`: membership of the gateway fleet.

use std::net::SocketAddr;
use std::path::PathBuf;

use admission::interface::TimeDelta;
use membership::{Config, Locality, Name, TrafficLimits};
use serde::Deserialize;

use crate::block::{BlockPath, enabled_by_default};
use crate::error::FieldError;

const DAY_MS: f64 = 8.64e7;
const TEN_MINUTES_MS: f64 = 600_000.0;

/// The block as it stands in the file, before validation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FleetBlock {
    #[serde(default = "enabled_by_default")]
    enabled: bool,
    fleet: String,
    /// If it is missing, the name in the gateway's configuration applies.
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
    /// Enables the traffic limits for large fleets. The five fields below are allowed only with it.
    #[serde(default)]
    bounded: bool,
    confirmations: Option<f64>,
    verifiers: Option<f64>,
    direct_probes: Option<f64>,
    gossip_bytes_per_s: Option<f64>,
    exchange_bytes_per_s: Option<f64>,
}

/// The validated configuration of this gateway's membership in the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipConfig {
    /// The name of the fleet. Datagrams of other fleets are rejected.
    pub fleet: Name,
    /// The name of this gateway, or `None` to use the name in the gateway's configuration.
    pub name: Option<Name>,
    /// The address to which the UDP socket is bound.
    pub bind: SocketAddr,
    /// The address at which other gateways reach this one.
    pub advertise: SocketAddr,
    /// The addresses of the gateways through which this one joins the fleet.
    pub seeds: Vec<SocketAddr>,
    /// The folder of the keys that sign datagrams.
    pub keys_folder: PathBuf,
    /// The zone and region in which this gateway runs.
    pub locality: Locality,
    /// The durations and limits of the membership protocol.
    pub protocol: Config,
}

/// The interval between probes, and the time that a member has to answer one.
struct ProbeTimes {
    period: TimeDelta,
    timeout: TimeDelta,
}

impl FleetBlock {
    /// Checks the block. Returns `None` if it is disabled.
    ///
    /// # Errors
    /// A field has an invalid value, or contradicts another.
    pub(crate) fn check(self) -> Result<Option<MembershipConfig>, FieldError> {
        let block = BlockPath::new(&["fleet"]);
        let name = |field: &str, text: &str| {
            Name::new(text).map_err(|why| block.error(field, why.to_string()))
        };
        let optional_name = |field: &str, text: &Option<String>| {
            text.as_ref().map(|text| name(field, text)).transpose()
        };
        let probe = self.probe_times(&block)?;
        let advertise = self.advertised(&block)?;
        let protocol = self.protocol(&block, &probe)?;
        let config = MembershipConfig {
            fleet: name("fleet", &self.fleet)?,
            name: optional_name("name", &self.name)?,
            bind: self.bind,
            advertise,
            seeds: self.seeds,
            keys_folder: self.keys_folder,
            locality: Locality {
                zone: optional_name("zone", &self.zone)?,
                region: optional_name("region", &self.region)?,
            },
            protocol,
        };
        Ok(self.enabled.then_some(config))
    }

    fn advertised(&self, block: &BlockPath<'_>) -> Result<SocketAddr, FieldError> {
        let advertise = self.advertise.unwrap_or(self.bind);
        if advertise.ip().is_unspecified() || advertise.port() == 0 {
            let why = format!("{advertise} is no address at which others reach this gateway");
            return Err(block.error("advertise", why));
        }
        Ok(advertise)
    }

    fn probe_times(&self, block: &BlockPath<'_>) -> Result<ProbeTimes, FieldError> {
        let default = Config::default();
        let period = block.millis(
            "period_ms",
            self.period_ms,
            default.probe_period,
            50.0..=60_000.0,
        )?;
        let timeout = block.millis(
            "answer_ms",
            self.answer_ms,
            default.probe_timeout,
            5.0..=30_000.0,
        )?;
        if timeout.secs() * 2.0 > period.secs() {
            let why = "others need as long again to ask in its place: at most half of period_ms";
            return Err(block.error("answer_ms", why));
        }
        Ok(ProbeTimes { period, timeout })
    }

    fn protocol(&self, block: &BlockPath<'_>, probe: &ProbeTimes) -> Result<Config, FieldError> {
        let default = Config::default();
        let millis = |field, value, default, bounds| block.millis(field, value, default, bounds);
        let number = |field, value, default, bounds| block.number(field, value, default, bounds);
        let count = |field, value, default, bounds| block.count(field, value, default, bounds);
        Ok(Config {
            probe_period: probe.period,
            probe_timeout: probe.timeout,
            indirect_probes: count("helpers", self.helpers, default.indirect_probes, 0.0..=16.0)?,
            max_byzantine: count("liars", self.liars, default.max_byzantine, 0.0..=7.0)?,
            suspicion_multiplier: number(
                "suspicion_periods",
                self.suspicion_periods,
                default.suspicion_multiplier,
                1.0..=100.0,
            )?,
            max_suspicion_factor: number(
                "patience",
                self.patience,
                default.max_suspicion_factor,
                1.0..=20.0,
            )?,
            max_members: count(
                "most_gateways",
                self.most_gateways,
                default.max_members,
                2.0..=8192.0,
            )?,
            dead_retention: millis(
                "keep_gone_ms",
                self.keep_gone_ms,
                default.dead_retention,
                1000.0..=DAY_MS,
            )?,
            partition_threshold: number(
                "cut_off_below",
                self.cut_off_below,
                default.partition_threshold,
                0.0..=1.0,
            )?,
            partition_acceptance: millis(
                "accept_ms",
                self.accept_ms,
                default.partition_acceptance,
                1000.0..=DAY_MS,
            )?,
            min_view_state_duration: millis(
                "hold_ms",
                self.hold_ms,
                default.min_view_state_duration,
                0.0..=TEN_MINUTES_MS,
            )?,
            engine_report_lifetime: millis(
                "news_lasts_ms",
                self.news_lasts_ms,
                default.engine_report_lifetime,
                100.0..=TEN_MINUTES_MS,
            )?,
            traffic_limits: self.traffic_limits(block)?,
            ..default
        })
    }

    fn traffic_limits(&self, block: &BlockPath<'_>) -> Result<Option<TrafficLimits>, FieldError> {
        if !self.bounded {
            return match self.field_that_needs_bounded() {
                Some(field) => Err(block.error(field, "it needs bounded = true")),
                None => Ok(None),
            };
        }
        let default = TrafficLimits::default();
        Ok(Some(TrafficLimits {
            confirmations: block.count(
                "confirmations",
                self.confirmations,
                default.confirmations,
                0.0..=20.0,
            )?,
            verifiers: block.count("verifiers", self.verifiers, default.verifiers, 1.0..=64.0)?,
            direct_probes: block.count(
                "direct_probes",
                self.direct_probes,
                default.direct_probes,
                1.0..=256.0,
            )?,
            gossip_bytes_per_s: block.number(
                "gossip_bytes_per_s",
                self.gossip_bytes_per_s,
                default.gossip_bytes_per_s,
                200.0..=1e6,
            )?,
            exchange_bytes_per_s: block.number(
                "exchange_bytes_per_s",
                self.exchange_bytes_per_s,
                default.exchange_bytes_per_s,
                100.0..=1e6,
            )?,
        }))
    }

    fn field_that_needs_bounded(&self) -> Option<&'static str> {
        let fields = [
            ("confirmations", self.confirmations),
            ("verifiers", self.verifiers),
            ("direct_probes", self.direct_probes),
            ("gossip_bytes_per_s", self.gossip_bytes_per_s),
            ("exchange_bytes_per_s", self.exchange_bytes_per_s),
        ];
        let given = fields.into_iter().find(|(_, value)| value.is_some())?;
        Some(given.0)
    }
}
