//! The scenario file (HCL) and its checks. Field names carry the units.

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
    /// How many times in all a client submits a request that is rejected, within its deadline.
    #[serde(default = "default_client_tries")]
    pub client_tries: u32,
    /// The longest delay of an engine list update to a gateway.
    #[serde(default = "default_list_delay_ms")]
    pub list_delay_ms: f64,
    /// Each tenant's quota as a multiple of its usual statements per second. Without it, there are
    /// no quotas.
    pub allowance_times: Option<f64>,
    /// Whether the gateways form a cluster and share their outlier detection results.
    #[serde(default)]
    pub fleet: bool,
    /// The exponent of the Zipf distribution of each tenant's statements over the gateways: 0
    /// spreads them evenly, 1 sends most of them to a few gateways.
    #[serde(default)]
    pub uneven: f64,
    /// How the tenants' budgets are divided among the gateways.
    #[serde(default)]
    pub budgets: Budgets,
    /// Hides the engines' idle timeout from the dispatchers, for comparison.
    #[serde(default)]
    pub idle_untold: bool,
    pub engines: Engines,
    #[serde(rename = "product")]
    pub class: BTreeMap<String, ClassSpec>,
    /// Keyed by tenant, then by queue.
    pub traffic: BTreeMap<String, BTreeMap<String, Traffic>>,
    #[serde(default)]
    pub script: BTreeMap<String, OneOrMany<Fault>>,
    pub queues: Option<operator_config::QueuesBlock>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
/// How the tenants' budgets are divided among the gateways.
pub enum Budgets {
    /// Each gateway estimates its part from its own traffic.
    #[default]
    Guess,
    /// Each gateway gets an equal part.
    Even,
    /// The coordinator leases parts of the budgets to the gateways.
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

fn default_client_tries() -> u32 {
    1
}

fn default_list_delay_ms() -> f64 {
    2000.0
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engines {
    pub count: usize,
    pub cores: f64,
    pub memory_mb: f64,
    #[serde(default = "default_zones")]
    pub zones: u16,
    /// How long a restarted engine takes to reach its full speed. It starts at `cold_share` of it
    /// and grows linearly.
    pub cold_s: f64,
    pub cold_share: f64,
    /// A cold engine crashes when the work sent to it within `tip_s` exceeds this multiple of what
    /// it can do.
    pub tip_multiple: f64,
    pub tip_s: f64,
    /// Above this number of running threads per core, contention slows the engine: each further
    /// thread per core adds `crowd_loss` to the divisor of its speed.
    pub threads_a_core: f64,
    pub crowd_loss: f64,
    /// The interval between an engine's progress reports.
    pub note_ms: f64,
    /// The idle timeout of connections. Without it, idle connections stay open and the dispatchers
    /// know no timeout.
    pub idle_s: Option<f64>,
}

fn default_zones() -> u16 {
    1
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassSpec {
    /// The median CPU time of a statement.
    pub cpu_ms: f64,
    /// The standard deviation of the logarithm of the CPU time.
    pub cpu_spread: f64,
    /// The median ratio of the estimated to the actual CPU time. `estimate_spread` is the standard
    /// deviation of its logarithm.
    pub estimate_times: f64,
    pub estimate_spread: f64,
    pub memory_mb: f64,
    #[serde(default = "default_factor")]
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
    #[serde(default = "default_table_groups")]
    pub table_groups: u32,
    #[serde(default)]
    pub unrepeatable: bool,
    /// The number of order keys. 0 means that statements are not ordered.
    #[serde(default)]
    pub keys: u64,
    /// The only zone whose engines may run these statements. Without it, any engine may.
    pub zone: Option<u16>,
}

fn default_factor() -> f64 {
    1.0
}

fn default_table_groups() -> u32 {
    8
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    /// Statements per second over all gateways, by query class.
    pub per_s: BTreeMap<String, f64>,
}

/// The blocks of one label, which may occur once or several times.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum OneOrMany<T> {
    One(T),
    Many(Vec<T>),
}

/// One fault of the script.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at_s: f64,
    pub for_s: f64,
    /// Indices of the affected engines. Empty for a flood.
    #[serde(default)]
    pub engines: Vec<usize>,
    /// Further affected engines: a start index and an exclusive end index.
    #[serde(default)]
    pub engine_range: Option<(usize, usize)>,
    /// Indices of the affected gateways.
    #[serde(default)]
    pub gateways: Vec<usize>,
    /// Further affected gateways: a start index and an exclusive end index.
    #[serde(default)]
    pub gateway_range: Option<(usize, usize)>,
    /// The fraction of the answers that `lose` drops.
    #[serde(default)]
    pub share: f64,
    /// The tenant whose traffic a flood multiplies. Without it, the traffic of all tenants.
    pub member: Option<String>,
    /// The query class whose traffic a flood multiplies. Without it, all classes.
    #[serde(rename = "product")]
    pub class: Option<String>,
    /// The factor by which a flood multiplies the traffic, or by which `slow` slows an engine down.
    #[serde(default = "default_factor")]
    pub times: f64,
}

/// The effect of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Multiplies traffic.
    Flood,
    /// Lists the engines as draining. At the end of the fault they restart cold.
    Drain,
    /// The engines accept statements but send neither answers nor progress reports. The statements
    /// are lost.
    Silent,
    /// The engines stop running and later resume where they stopped.
    Pause,
    /// The engines answer each statement with an error at once.
    Fail,
    /// The engines run slower.
    Slow,
    /// The gateways' clients go to the next gateway. The gateways finish the statements that they
    /// hold.
    Away,
    /// The engines crash, losing all running statements, and restart cold at the end of the fault.
    Restart,
    /// The gateways shut down gracefully and restart with empty state.
    Renew,
    /// The gateways are killed, losing all statements that they hold, and restart with empty state.
    Kill,
    /// A fraction of the engines' answers is lost.
    Lose,
}

/// Merges `file` into `whole`: blocks recursively, while any other value replaces the existing one.
fn merge_values(whole: &mut hcl::Value, file: hcl::Value) {
    match (whole, file) {
        (hcl::Value::Object(whole), hcl::Value::Object(file)) => {
            for (name, value) in file {
                match whole.get_mut(&name) {
                    Some(below) => merge_values(below, value),
                    None => drop(whole.insert(name, value)),
                }
            }
        }
        (whole, file) => *whole = file,
    }
}

impl Scenario {
    /// Reads a scenario file and the files that it builds on.
    ///
    /// # Errors
    /// Fails if a file cannot be read, or if the merged scenario is not valid.
    pub fn read(path: &Path) -> Result<Self, ScenarioError> {
        let name = path.display().to_string();
        let form = |why| ScenarioError::Form(name.clone(), why);
        let file = Self::value(path)?;
        Self::parse(&hcl::to_string(&file).map_err(|e| form(e.to_string()))?).map_err(form)
    }

    /// The file's value, merged over the file in the same folder that its `base` field names, if it
    /// has one.
    ///
    /// # Errors
    /// Fails if a file cannot be read or is not HCL, or if `base` is not a string.
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
        merge_values(&mut whole, file);
        Ok(whole)
    }

    /// Parses a scenario and checks that the classes, engines and gateways that it refers to exist.
    ///
    /// # Errors
    /// Returns what is wrong with the text.
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
        let faults = scenario.faults()?;
        let engine = faults
            .iter()
            .flat_map(|(_, t)| &t.engines)
            .find(|at| **at >= scenario.engines.count);
        let gateway = faults
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

    /// Parses `file` with one existing numeric field set to `value`. `path` is the field's path,
    /// such as `engines.count` or `traffic.valley-water.counter.per_s.lookup`.
    ///
    /// # Errors
    /// Fails if there is no such field, or if the resulting scenario is not valid.
    pub fn with(mut file: hcl::Value, path: &str, value: f64) -> Result<Self, String> {
        let mut at = &mut file;
        for step in path.split('.') {
            let below = at.as_object_mut().and_then(|fields| fields.get_mut(step));
            at = below.ok_or_else(|| format!("no field {path}"))?;
        }
        let is_integer = value.fract() == 0.0;
        *at = if is_integer {
            hcl::Value::from(value as i64)
        } else {
            hcl::Value::from(value)
        };
        Self::parse(&hcl::to_string(&file).map_err(|e| e.to_string())?)
    }

    /// All faults of the script, with the engine and gateway ranges expanded into indices.
    ///
    /// # Errors
    /// Fails if the script has a fault of an unknown kind.
    pub fn faults(&self) -> Result<Vec<(FaultKind, Fault)>, String> {
        let mut all = Vec::new();
        for (name, several) in &self.script {
            let kind = match &name[..] {
                "flood" => FaultKind::Flood,
                "drain" => FaultKind::Drain,
                "silent" => FaultKind::Silent,
                "pause" => FaultKind::Pause,
                "fail" => FaultKind::Fail,
                "slow" => FaultKind::Slow,
                "restart" => FaultKind::Restart,
                "away" => FaultKind::Away,
                "renew" => FaultKind::Renew,
                "kill" => FaultKind::Kill,
                "lose" => FaultKind::Lose,
                other => return Err(format!("script: unknown kind {other}")),
            };
            match several {
                OneOrMany::One(fault) => all.push((kind, fault.clone())),
                OneOrMany::Many(faults) => {
                    all.extend(faults.iter().map(|fault| (kind, fault.clone())))
                }
            }
        }
        for (_, fault) in &mut all {
            let (engines, gateways) = (fault.engine_range, fault.gateway_range);
            fault
                .engines
                .extend(engines.into_iter().flat_map(|(from, to)| from..to));
            fault
                .gateways
                .extend(gateways.into_iter().flat_map(|(from, to)| from..to));
        }
        Ok(all)
    }

    /// The checked queue settings. `None` if the scenario has no queues.
    ///
    /// # Errors
    /// Returns the path and the reason of the first invalid setting.
    pub fn queue_config(&self) -> Result<Option<scheduler::Config>, String> {
        let Some(block) = self.queues.clone() else {
            return Ok(None);
        };
        block
            .check()
            .map_err(|fault| format!("{}: {}", fault.path.join("."), fault.why))
    }
}
