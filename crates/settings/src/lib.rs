//! Reads an instance's settings into what each part takes. Both forms become the same paths and values: the
//! wire's path=value lines, and the nested JSON of the gateway's configuration.

use std::collections::BTreeMap;
use std::str::FromStr;

use admission::interface::*;
use admission::policy::{Policy, PolicyConfig};
use serde_json::Value;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("settings: {0} is missing")]
    Missing(String),
    #[error("settings: {key} cannot be read: {value}")]
    Unreadable { key: String, value: String },
}

/// The paths and values of one instance.
#[derive(Debug, PartialEq)]
pub struct Settings(BTreeMap<String, String>);

/// How attempts reach engines.
#[derive(Clone, Copy, Debug)]
pub struct Links {
    pub connect_timeout: TimeDelta,
    pub idle: TimeDelta,
    /// Attempts that one connection carries at the same time.
    pub multiplex: usize,
}

/// The longest time that what has left a gateway is on its way to an engine. A repeat must be there while the engine
/// still knows the first one, so windows of repeats are this much shorter for who sends.
#[derive(Clone, Copy, Debug)]
pub struct Way(pub TimeDelta);

impl Way {
    /// Of a short window no more than a tenth is taken: the rest of the way it bears by being short.
    fn within(self, window: TimeDelta) -> TimeDelta {
        window - TimeDelta::from_secs(self.0.secs().min(window.secs() * 0.1))
    }
}

impl Settings {
    pub fn from_lines(text: &str) -> Self {
        let pairs = text.lines().filter_map(|line| line.trim().split_once('='));
        Settings(
            pairs
                .map(|(path, value)| (path.to_owned(), value.to_owned()))
                .collect(),
        )
    }

    pub fn from_json(settings: &Value) -> Self {
        let mut pairs = BTreeMap::new();
        flatten(settings, String::new(), &mut pairs);
        Settings(pairs)
    }

    fn may<T: FromStr>(&self, key: &str) -> Result<Option<T>, SettingsError> {
        let Some(value) = self.0.get(key).filter(|v| !v.is_empty()) else {
            return Ok(None);
        };
        let unreadable = |_| SettingsError::Unreadable {
            key: key.into(),
            value: value.clone(),
        };
        value.parse().map(Some).map_err(unreadable)
    }

    fn need<T: FromStr>(&self, key: &str) -> Result<T, SettingsError> {
        self.may(key)?
            .ok_or_else(|| SettingsError::Missing(key.into()))
    }

    fn number(&self, key: &str) -> Result<Option<f64>, SettingsError> {
        match self.may::<f64>(key)? {
            Some(n) if !n.is_finite() || n < 0.0 => Err(SettingsError::Unreadable {
                key: key.into(),
                value: n.to_string(),
            }),
            n => Ok(n),
        }
    }

    fn span(&self, key: &str) -> Result<Option<TimeDelta>, SettingsError> {
        Ok(self.number(key)?.map(TimeDelta::from_secs))
    }

    fn need_span(&self, key: &str) -> Result<TimeDelta, SettingsError> {
        self.span(key)?
            .ok_or_else(|| SettingsError::Missing(key.into()))
    }

    fn words(&self, key: &str) -> Vec<&str> {
        let value = self.0.get(key).map_or("", String::as_str);
        value
            .split(',')
            .map(str::trim)
            .filter(|w| !w.is_empty())
            .collect()
    }

    fn numbers(&self, key: &str) -> Result<Vec<f64>, SettingsError> {
        let unreadable = |w: &str| SettingsError::Unreadable {
            key: key.into(),
            value: w.into(),
        };
        let number = |w: &str| {
            w.parse()
                .ok()
                .filter(|n: &f64| n.is_finite())
                .ok_or_else(|| unreadable(w))
        };
        self.words(key).into_iter().map(number).collect()
    }

    /// Places come as numbers in list entries; a list of names is looked up among `names`.
    fn places(&self, key: &str, names: &str) -> Result<Option<Vec<u16>>, SettingsError> {
        if !self.0.contains_key(key) {
            return Ok(None);
        }
        let names = self.words(names);
        let place = |w: &str| {
            let named = names.iter().position(|n| *n == w).map(|at| at as u16);
            let unreadable = || SettingsError::Unreadable {
                key: key.into(),
                value: w.into(),
            };
            w.parse().ok().or(named).ok_or_else(unreadable)
        };
        self.words(key)
            .into_iter()
            .map(place)
            .collect::<Result<_, _>>()
            .map(Some)
    }

    fn class(&self, at: usize, threads: f64, way: Way) -> Result<QueryClass, SettingsError> {
        let key = |name: &str| format!("Grades.{at}.{name}");
        let effect = match self.need::<String>(&key("Effect"))?.as_str() {
            "safe" => Effect::Idempotent,
            "unsafe" => Effect::NonIdempotent,
            "keyed" => Effect::IdempotentByKey {
                scope: match self.need::<String>(&key("KeyScope"))?.as_str() {
                    "all" => DeduplicationScope::All,
                    "zone" => DeduplicationScope::Location,
                    "cell" => DeduplicationScope::Cell,
                    other => {
                        return Err(SettingsError::Unreadable {
                            key: key("KeyScope"),
                            value: other.into(),
                        });
                    }
                },
                window: way.within(self.need_span(&key("WindowS"))?),
            },
            other => {
                return Err(SettingsError::Unreadable {
                    key: key("Effect"),
                    value: other.into(),
                });
            }
        };
        let places = |name: &str, names: &str| self.places(&key(name), names);
        Ok(QueryClass {
            effect,
            priority_weight: self.number(&key("Credit"))?.unwrap_or(1.0),
            late_priority_weight: self.number(&key("LateWorth"))?.unwrap_or(0.0),
            latency_objective: self.need_span(&key("GoalTimeS"))?,
            latency_objective_stretch: self.number(&key("AimStretch"))?.unwrap_or(0.0),
            time_limit: self.need_span(&key("GiveUpS"))?,
            threads,
            ordered_by_key: self.may(&key("InTurn"))?.unwrap_or(false),
            locations: places("ZonesOnly", "Zones")?
                .map(|of| of.into_iter().map(LocationId).collect()),
            machines: places("MachineTypesAllowed", "MachineTypes")?
                .map(|of| of.into_iter().map(MachineId).collect()),
        })
    }

    /// Whether answers tell the work they took.
    pub fn bills(&self) -> Result<bool, SettingsError> {
        Ok(self.may("Extra.Bills")?.unwrap_or(false))
    }

    /// The order of the values in a load report.
    pub fn report_fields(&self) -> Vec<String> {
        self.words("Feedback.Fields")
            .into_iter()
            .map(String::from)
            .collect()
    }

    /// `way`: what an attempt may take to its engine.
    pub fn policy(&self, seed: u64, way: Way) -> Result<Policy, SettingsError> {
        let threads = self.numbers("Extra.Parallelism")?;
        let count: usize = self.need("Grades.count")?;
        let thread = |at: usize| threads.get(at).copied().unwrap_or(1.0).max(1.0);
        let classes = (0..count)
            .map(|at| self.class(at, thread(at), way))
            .collect::<Result<Vec<_>, _>>()?;
        let tenants: usize = self.may("Tenants.count")?.unwrap_or(0);
        let quota = |at: usize| {
            Ok(self
                .number(&format!("Tenants.{at}.AllowancePerS"))?
                .unwrap_or(0.0))
        };
        let tenant_quotas = TenantQuotas {
            quotas: (0..tenants)
                .map(quota)
                .collect::<Result<_, SettingsError>>()?,
            over_quota_weight: self.number("OverShareWorth")?.unwrap_or(1.0),
        };
        let fleet = FleetConfig {
            peers: self.peers()?,
            cores: self.numbers("Extra.KindCores")?,
            memory_mb: self.numbers("Extra.MemoryByKindMb")?,
            progress_interval: self
                .span("Extra.ProgressPaceS")?
                .filter(|pace| *pace > TimeDelta::ZERO),
            priorities_honored: self.may("Extra.RanksHeeded")?.unwrap_or(false),
            idle: self
                .span("Limits.ConnIdleS")?
                .filter(|idle| *idle > TimeDelta::ZERO),
        };
        let slow_start = match self.number("Rules.StartCapacity")? {
            None => None,
            Some(initial_share) => Some(SlowStart {
                initial_share,
                warm_up: self.need_span("Rules.ColdS")?,
                overload_multiple: self.number("Rules.TipMultiple")?.unwrap_or(1.0),
                window: self
                    .span("Rules.TipAfterS")?
                    .unwrap_or(TimeDelta::from_secs(1.0)),
            }),
        };
        let retry_budget = match self.span("Rules.ResendSpanS")? {
            None => None,
            Some(window) => Some(RetryBudget {
                min_retries: self.number("Rules.ExtraFree")?.unwrap_or(0.0),
                ratio: self.number("Rules.BudgetShare")?.unwrap_or(0.0),
                window,
            }),
        };
        let tells_retry_after = self.may("Limits.RetryAfter")?.unwrap_or(false);
        let retry_policy = RetryPolicy {
            max_attempts: self.may("Limits.MaxAttempts")?.unwrap_or(1),
            can_cancel: self.may("Limits.Cancel")?.unwrap_or(false),
            max_retry_after: self
                .span("Limits.MaxRetryAfterS")?
                .filter(|_| tells_retry_after),
            order_settle: self.span("Rules.OrderSettleS")?.unwrap_or(TimeDelta::ZERO),
            retry_budget,
        };
        let discovery = DiscoveryMode {
            on_request: self.may::<String>("Discovery")?.as_deref() == Some("on_request"),
            request_within: self
                .span("Rules.AskWithinS")?
                .unwrap_or(TimeDelta::from_secs(10.0)),
        };
        let config = PolicyConfig {
            classes,
            tenant_quotas,
            fleet,
            slow_start,
            retry_policy,
            discovery,
        };
        Ok(Policy::new(config, seed))
    }

    pub fn classes(&self) -> usize {
        self.may("Grades.count").ok().flatten().unwrap_or(0)
    }

    fn names(&self, list: &str) -> Result<Vec<String>, SettingsError> {
        let count: usize = self.may(&format!("{list}.count"))?.unwrap_or(0);
        (0..count)
            .map(|at| self.need(&format!("{list}.{at}.Name")))
            .collect()
    }

    pub fn class_names(&self) -> Result<Vec<String>, SettingsError> {
        self.names("Grades")
    }

    /// Empty where there are no tenants.
    pub fn tenant_names(&self) -> Result<Vec<String>, SettingsError> {
        self.names("Tenants")
    }

    pub fn location_names(&self) -> Vec<String> {
        self.words("Zones").into_iter().map(String::from).collect()
    }

    pub fn machine_names(&self) -> Vec<String> {
        self.words("MachineTypes")
            .into_iter()
            .map(String::from)
            .collect()
    }

    pub fn links(&self) -> Result<Links, SettingsError> {
        Ok(Links {
            connect_timeout: self.need_span("Limits.ConnectTimeoutS")?,
            idle: self.need_span("Limits.ConnIdleS")?,
            multiplex: self.may("Limits.Multiplex")?.unwrap_or(1).max(1),
        })
    }

    /// The longest deadline of any query class.
    pub fn longest_deadline(&self) -> Result<TimeDelta, SettingsError> {
        let limit = |at: usize| self.need_span(&format!("Grades.{at}.GiveUpS"));
        (0..self.classes())
            .map(limit)
            .try_fold(TimeDelta::ZERO, |most, limit| Ok(most.max(limit?)))
    }

    /// Gateways before the same engines, this one among them.
    pub fn peers(&self) -> Result<f64, SettingsError> {
        Ok(self.need::<u32>("PeersTotal")?.max(1).into())
    }

    /// Statements in hand at the same time.
    pub fn most_open(&self) -> Result<usize, SettingsError> {
        Ok(self.may("Limits.MaxOpen")?.unwrap_or(usize::MAX))
    }
}

fn flatten(value: &Value, path: String, pairs: &mut BTreeMap<String, String>) {
    let below = |name: &str| {
        if path.is_empty() {
            name.to_owned()
        } else {
            format!("{path}.{name}")
        }
    };
    match value {
        Value::Object(of) => of
            .iter()
            .for_each(|(name, value)| flatten(value, below(name), pairs)),
        Value::Array(of) if of.iter().any(Value::is_object) => {
            pairs.insert(below("count"), of.len().to_string());
            of.iter()
                .enumerate()
                .for_each(|(at, value)| flatten(value, below(&at.to_string()), pairs));
        }
        Value::Array(of) => {
            // As on the wire, where commas join a list.
            let plain = |value: &Value| plain(value).replace([' ', ','], "_");
            pairs.insert(path, of.iter().map(plain).collect::<Vec<_>>().join(","));
        }
        Value::Null => {}
        value => drop(pairs.insert(path, plain(value))),
    }
}

fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), String::from)
}
