//! A scenario as its HCL file says it; units stand in the names.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum ScenarioError {
    #[error("{0}: {1}")]
    Unreadable(String, std::io::Error),
    #[error("{0}: {1}")]
    Form(String, String),
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub seconds: f64,
    pub gateways: usize,
    /// Times a client asks in all, within its deadline, as long as it is rejected.
    #[serde(default = "one")]
    pub client_tries: u32,
    /// Endpoint updates reach each gateway this late at most.
    #[serde(default = "two_seconds")]
    pub list_delay_ms: f64,
    /// Members are allowed this many times their usual statements a second; none: no quotas.
    pub allowance_times: Option<f64>,
    /// Gateways know each other, and share what they see of engines.
    #[serde(default)]
    pub fleet: bool,
    /// Each member's statements come to gateways by the power of their rank: 0 is evenly, 1 mostly to few.
    #[serde(default)]
    pub uneven: f64,
    /// How members' budgets of all gateways are divided: each by its own guess, evenly, or by leases.
    #[serde(default)]
    pub budgets: Budgets,
    /// The decisions are not told when idle connections end, for comparison.
    #[serde(default)]
    pub idle_untold: bool,
    pub engines: Engines,
    #[serde(rename = "product")]
    pub class: BTreeMap<String, ClassSpec>,
    /// By member, then desk.
    pub traffic: BTreeMap<String, BTreeMap<String, Traffic>>,
    #[serde(default)]
    pub script: BTreeMap<String, Several<Trouble>>,
    pub queues: Option<operator_config::QueuesBlock>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Budgets {
    #[default]
    Guess,
    Even,
    Leases,
}

impl Budgets {
    pub const ALL: [Budgets; 3] = [Budgets::Guess, Budgets::Even, Budgets::Leases];

    pub fn name(self) -> &'static str {
        match self {
            Budgets::Guess => "guess",
            Budgets::Even => "even",
            Budgets::Leases => "leases",
        }
    }
}

fn one() -> u32 {
    1
}

fn two_seconds() -> f64 {
    2000.0
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    pub count: usize,
    pub cores: f64,
    pub memory_mb: f64,
    #[serde(default = "one_zone")]
    pub zones: u16,
    /// A started engine can do `cold_share` of its work, all of it after `cold_s`.
    pub cold_s: f64,
    pub cold_share: f64,
    /// Sent more than this many times what it can do, for `tip_s`, a cold engine falls over.
    pub tip_multiple: f64,
    pub tip_s: f64,
    /// Beyond so many threads a core each further one costs this part of all work.
    pub threads_a_core: f64,
    pub crowd_loss: f64,
    pub note_ms: f64,
    /// Idle connections end after this; without it the decisions are not told of connections.
    pub idle_s: Option<f64>,
}

fn one_zone() -> u16 {
    1
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    pub cpu_ms: f64,
    /// Of the logarithm of the CPU.
    pub cpu_spread: f64,
    /// What estimates are, over the truth, in the middle, and the spread of their logarithm.
    pub estimate_times: f64,
    pub estimate_spread: f64,
    pub memory_mb: f64,
    #[serde(default = "one_thread")]
    pub threads: f64,
    pub quoted_ms: f64,
    #[serde(default)]
    #[serde(rename = "quoted_stretch")]
    pub latency_objective_stretch: f64,
    pub hard_limit_ms: f64,
    #[serde(rename = "gain")]
    pub priority_weight: f64,
    #[serde(default)]
    #[serde(rename = "late_gain")]
    pub late_priority_weight: f64,
    #[serde(default = "eight")]
    pub table_groups: u32,
    #[serde(default)]
    pub unrepeatable: bool,
    /// So many order keys; none: no order.
    #[serde(default)]
    pub keys: u64,
    /// Bound to this zone.
    pub zone: Option<u16>,
}

fn one_thread() -> f64 {
    1.0
}

fn eight() -> u32 {
    8
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Statements a second by query class, over all gateways.
    pub per_s: BTreeMap<String, f64>,
}

/// A label that stands once or several times.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum Several<T> {
    One(T),
    Many(Vec<T>),
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    pub at_s: f64,
    pub for_s: f64,
    /// By number; for a flood, none.
    #[serde(default)]
    pub engines: Vec<usize>,
    /// More of them: from the first number to before the second.
    #[serde(default)]
    pub engine_range: Option<(usize, usize)>,
    /// Gateways that are away: their clients go to the next one.
    #[serde(default)]
    pub gateways: Vec<usize>,
    #[serde(default)]
    pub gateway_range: Option<(usize, usize)>,
    /// Of lost answers, the part.
    #[serde(default)]
    pub share: f64,
    /// Of a flood: which traffic; all of it where not named.
    pub member: Option<String>,
    #[serde(rename = "product")]
    pub class: Option<String>,
    /// How many times the traffic, or how many times slower.
    #[serde(default = "one_thread")]
    pub times: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Flood,
    /// Told, and gone afterwards until it comes back cold.
    Drain,
    /// Takes statements, and neither answers nor notes.
    Silent,
    /// Stands still, and goes on where it was.
    Pause,
    /// Answers all with an error at once.
    Fail,
    Slow,
    /// Gateways, not engines; what they hold they finish.
    Away,
    /// Dies with all it has, and comes back cold after the time.
    Restart,
    /// Gateways end in order and come back knowing nothing.
    Renew,
    /// Gateways die with all they hold, and come back knowing nothing.
    Kill,
    /// A part of the answers of these engines never comes.
    Lose,
}

/// Blocks go into blocks, all else takes the place of what was there.
fn lay_over(whole: &mut hcl::Value, file: hcl::Value) {
    match (whole, file) {
        (hcl::Value::Object(whole), hcl::Value::Object(file)) => {
            for (name, value) in file {
                match whole.get_mut(&name) {
                    Some(below) => lay_over(below, value),
                    None => drop(whole.insert(name, value)),
                }
            }
        }
        (whole, file) => *whole = file,
    }
}

impl Scenario {
    /// # Errors
    /// The file cannot be read, or says what no scenario can.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let name = path.display().to_string();
        let form = |why| ScenarioError::Form(name.clone(), why);
        let file = Self::value(path)?;
        Self::parse(&hcl::to_string(&file).map_err(|e| form(e.to_string()))?).map_err(form)
    }

    /// The file, over that which its `base` names beside it.
    pub fn value(path: &Path) -> Result<hcl::Value, ScenarioError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|e| ScenarioError::Unreadable(name.clone(), e))?;
        let mut file: hcl::Value =
            hcl::from_str(&text).map_err(|e| ScenarioError::Form(name.clone(), e.to_string()))?;
        let base = file
            .as_object_mut()
            .and_then(|fields| fields.shift_remove("base"));
        let Some(base) = base else { return Ok(file) };
        let base = base
            .as_str()
            .ok_or_else(|| ScenarioError::Form(name, "base: no file's name".into()))?;
        let mut whole = Self::value(&path.with_file_name(base))?;
        lay_over(&mut whole, file);
        Ok(whole)
    }

    pub fn parse(text: &str) -> Result<Self, String> {
        let scenario: Scenario = hcl::from_str(text).map_err(|e| e.to_string())?;
        for (member, desks) in &scenario.traffic {
            for (desk, traffic) in desks {
                if let Some(unknown) = traffic
                    .per_s
                    .keys()
                    .find(|name| !scenario.class.contains_key(*name))
                {
                    return Err(format!("traffic {member} {desk}: no product {unknown}"));
                }
            }
        }
        let troubles = scenario.troubles()?;
        let engine = troubles
            .iter()
            .flat_map(|(_, t)| &t.engines)
            .find(|at| **at >= scenario.engines.count);
        let gateway = troubles
            .iter()
            .flat_map(|(_, t)| &t.gateways)
            .find(|at| **at >= scenario.gateways);
        if let Some(gateway) = gateway {
            return Err(format!("script: no gateway {gateway}"));
        }
        match engine {
            Some(engine) => Err(format!("script: no engine {engine}")),
            None => Ok(scenario),
        }
    }

    /// A field by its path, as `sweep` sets it: `engines.count`, `traffic.valley-water.counter.per_s.lookup`.
    pub fn with(mut file: hcl::Value, path: &str, value: f64) -> Result<Self, String> {
        let mut at = &mut file;
        for step in path.split('.') {
            let below = at.as_object_mut().and_then(|fields| fields.get_mut(step));
            at = below.ok_or_else(|| format!("no field {path}"))?;
        }
        let whole = value.fract() == 0.0;
        *at = if whole {
            hcl::Value::from(value as i64)
        } else {
            hcl::Value::from(value)
        };
        Self::parse(&hcl::to_string(&file).map_err(|e| e.to_string())?)
    }

    pub fn troubles(&self) -> Result<Vec<(Kind, Trouble)>, String> {
        let mut all = Vec::new();
        for (name, several) in &self.script {
            let kind = match &name[..] {
                "flood" => Kind::Flood,
                "drain" => Kind::Drain,
                "silent" => Kind::Silent,
                "pause" => Kind::Pause,
                "fail" => Kind::Fail,
                "slow" => Kind::Slow,
                "restart" => Kind::Restart,
                "away" => Kind::Away,
                "renew" => Kind::Renew,
                "kill" => Kind::Kill,
                "lose" => Kind::Lose,
                other => return Err(format!("script: unknown kind {other}")),
            };
            match several {
                Several::One(trouble) => all.push((kind, trouble.clone())),
                Several::Many(troubles) => {
                    all.extend(troubles.iter().map(|trouble| (kind, trouble.clone())))
                }
            }
        }
        for (_, trouble) in &mut all {
            let (engines, gateways) = (trouble.engine_range, trouble.gateway_range);
            trouble
                .engines
                .extend(engines.into_iter().flat_map(|(from, to)| from..to));
            trouble
                .gateways
                .extend(gateways.into_iter().flat_map(|(from, to)| from..to));
        }
        Ok(all)
    }

    pub fn terms(&self) -> Result<Option<scheduler::Config>, String> {
        let Some(block) = self.queues.clone() else {
            return Ok(None);
        };
        block
            .check()
            .map_err(|fault| format!("{}: {}", fault.path.join("."), fault.why))
    }
}
