//! The block `queues`: waiting statements by tenant and sub-queue. The file calls a tenant `member`
//! and a sub-queue `desk`.

use std::collections::{BTreeMap, BTreeSet};

use admission::interface::TimeDelta;
use ipnet::IpNet;
use scheduler::{CapacityShare, Config, QueueLimit, SubQueueConfig, TenantConfig};
use serde::Deserialize;

use crate::block::{BlockPath, enabled_by_default};
use crate::error::FieldError;

/// The defaults of the block's fields.
const AGEING: TimeDelta = TimeDelta::from_micros(1_000_000);
const BURST: TimeDelta = TimeDelta::from_micros(2_000_000);
const SUB_QUEUE_STATEMENTS: f64 = 5000.0;
const SUB_QUEUE_CPU_S: f64 = 300.0;
const ALL_STATEMENTS: f64 = 20_000.0;
const ALL_CPU_S: f64 = 1000.0;
/// The lower bound of the default weight, so that a tenant or sub-queue without a budget has a
/// weight too.
const MIN_DEFAULT_WEIGHT: f64 = 0.01;
/// The relative rounding error that is allowed when the budgets of sub-queues are compared with the
/// budget of their tenant.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// The name of the single sub-queue of a tenant for which the file has none.
const ONLY_SUB_QUEUE: &str = "all";

/// The block as it stands in the file, before validation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueuesBlock {
    #[serde(default = "enabled_by_default")]
    enabled: bool,
    ageing_ms: Option<f64>,
    burst_ms: Option<f64>,
    waiting_statements: Option<f64>,
    waiting_cpu_s: Option<f64>,
    desk_statements: Option<f64>,
    desk_cpu_s: Option<f64>,
    default_member: String,
    member: BTreeMap<String, MemberBlock>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct MemberBlock {
    cpu_s_per_s: f64,
    weight: Option<f64>,
    default_desk: Option<String>,
    #[serde(default)]
    desk: BTreeMap<String, DeskBlock>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DeskBlock {
    cpu_s_per_s: Option<f64>,
    weight: Option<f64>,
    #[serde(default)]
    networks: Vec<IpNet>,
}

impl QueuesBlock {
    /// Validates the block and returns the scheduler's configuration, or `None` if the block is
    /// disabled.
    ///
    /// # Errors
    /// A field has an invalid value, or one in conflict with another field.
    pub fn check(self) -> Result<Option<Config>, FieldError> {
        let block = BlockPath::new(&["queues"]);
        if !self.member.contains_key(&self.default_member) {
            return Err(block.error("default_member", "no such member"));
        }
        let statements = |field, value, default| {
            let count = block.number(field, value, default, 1.0..=1e7)?;
            Ok::<_, FieldError>(count as u32)
        };
        let cpu_s = |field, value, default| block.number(field, value, default, 1e-3..=1e9);
        let millis = |field, value, default| block.millis(field, value, default, 10.0..=600_000.0);
        let config = Config {
            tenants: tenants(&self.default_member, self.member)?,
            ageing: millis("ageing_ms", self.ageing_ms, AGEING)?,
            burst: millis("burst_ms", self.burst_ms, BURST)?,
            sub_queue_limit: QueueLimit {
                statements: statements(
                    "desk_statements",
                    self.desk_statements,
                    SUB_QUEUE_STATEMENTS,
                )?,
                cpu: cpu_s("desk_cpu_s", self.desk_cpu_s, SUB_QUEUE_CPU_S)?,
            },
            total_limit: QueueLimit {
                statements: statements(
                    "waiting_statements",
                    self.waiting_statements,
                    ALL_STATEMENTS,
                )?,
                cpu: cpu_s("waiting_cpu_s", self.waiting_cpu_s, ALL_CPU_S)?,
            },
        };
        Ok(self.enabled.then_some(config))
    }
}

/// The validated tenants. The default tenant, which serves unknown clients, comes first; the others
/// follow in the order of their names.
fn tenants(
    default: &str,
    members: BTreeMap<String, MemberBlock>,
) -> Result<Vec<TenantConfig>, FieldError> {
    let (default, others): (Vec<_>, Vec<_>) =
        members.into_iter().partition(|(name, _)| name == default);
    let members = default.into_iter().chain(others);
    members.map(|(name, member)| member.check(&name)).collect()
}

impl MemberBlock {
    fn check(self, name: &str) -> Result<TenantConfig, FieldError> {
        let block = BlockPath::new(&["queues", "member", name]);
        let budget = block.number("cpu_s_per_s", Some(self.cpu_s_per_s), 0.0, 0.0..=1e6)?;
        let share = CapacityShare {
            budget,
            weight: weight(&block, self.weight, budget)?,
        };
        let mut sub_queues = sub_queues(name, budget, self.desk)?;
        let reserved: f64 = sub_queues
            .iter()
            .map(|sub_queue| sub_queue.share.budget)
            .sum();
        if reserved > budget * (1.0 + ROUNDING_TOLERANCE) {
            let why = format!("its desks are owed {reserved} together");
            return Err(block.error("cpu_s_per_s", why));
        }
        if sub_queues.is_empty() {
            sub_queues.push(SubQueueConfig {
                name: ONLY_SUB_QUEUE.to_owned(),
                share,
                networks: Vec::new(),
            });
        }
        if let Some(default) = &self.default_desk {
            let found = sub_queues
                .iter()
                .position(|sub_queue| sub_queue.name == *default);
            let index = found.ok_or_else(|| block.error("default_desk", "no such desk"))?;
            // Moves the default sub-queue to the front and keeps the order of the others.
            sub_queues[..=index].rotate_right(1);
        }
        Ok(TenantConfig {
            name: name.to_owned(),
            share,
            sub_queues,
        })
    }
}

/// The given weight. Its default is the budget, but at least [`MIN_DEFAULT_WEIGHT`].
fn weight(block: &BlockPath<'_>, given: Option<f64>, budget: f64) -> Result<f64, FieldError> {
    block.number("weight", given, budget.max(MIN_DEFAULT_WEIGHT), 1e-3..=1e6)
}

/// The sub-queues of one tenant in the order of their names. The default budget of a sub-queue is
/// the tenant's budget divided by the number of its sub-queues.
fn sub_queues(
    tenant: &str,
    tenant_budget: f64,
    desks: BTreeMap<String, DeskBlock>,
) -> Result<Vec<SubQueueConfig>, FieldError> {
    let equal_budget = tenant_budget / desks.len().max(1) as f64;
    let mut known_networks: BTreeSet<IpNet> = BTreeSet::new();
    let mut sub_queues = Vec::new();
    for (name, desk) in desks {
        let block = BlockPath::new(&["queues", "member", tenant, "desk", &name]);
        let budget = block.number("cpu_s_per_s", desk.cpu_s_per_s, equal_budget, 0.0..=1e6)?;
        let weight = weight(&block, desk.weight, budget)?;
        for network in &desk.networks {
            if !known_networks.insert(network.trunc()) {
                let why = format!("{network} is another desk's already");
                return Err(block.error("networks", why));
            }
        }
        sub_queues.push(SubQueueConfig {
            share: CapacityShare { budget, weight },
            networks: desk.networks,
            name,
        });
    }
    Ok(sub_queues)
}
