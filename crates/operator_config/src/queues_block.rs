//! `queues`: teams, budgets and bounds of waiting work.

use std::collections::{BTreeMap, BTreeSet};

use admission::interface::TimeDelta;
use ipnet::IpNet;
use scheduler::{CapacityShare, Config, QueueLimit, SubQueueConfig, TenantConfig};
use serde::Deserialize;

use crate::{Fault, fault, within, yes};

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queues {
    #[serde(default = "yes")]
    enabled: bool,
    ageing_ms: Option<f64>,
    burst_ms: Option<f64>,
    waiting_statements: Option<f64>,
    waiting_cpu_s: Option<f64>,
    desk_statements: Option<f64>,
    desk_cpu_s: Option<f64>,
    default_member: String,
    member: BTreeMap<String, Member>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Member {
    cpu_s_per_s: f64,
    weight: Option<f64>,
    default_desk: Option<String>,
    #[serde(default)]
    desk: BTreeMap<String, Desk>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Desk {
    cpu_s_per_s: Option<f64>,
    weight: Option<f64>,
    #[serde(default)]
    networks: Vec<IpNet>,
}

/// The desk of a member that names none.
const ONLY_DESK: &str = "all";

impl Queues {
    /// The scheduler's configuration; nothing where switched off.
    ///
    /// # Errors
    /// A field that cannot be used, or contradicts another.
    pub fn terms(self) -> Result<Option<Config>, Fault> {
        let span_ms = |name, value, default: f64, least, most| {
            within(&["queues", name], value, default, least, most)
                .map(|ms| TimeDelta::from_secs(ms / 1e3))
        };
        let count = |name, value, default| {
            within(&["queues", name], value, default, 1.0, 1e7).map(|count| count as u32)
        };
        let cpu = |name, value, default| within(&["queues", name], value, default, 1e-3, 1e9);
        if !self.member.contains_key(&self.default_member) {
            return Err(fault(&["queues", "default_member"], "no such member"));
        }
        // The default one first: it takes whoever is not known.
        let (default, others): (Vec<_>, Vec<_>) = self
            .member
            .into_iter()
            .partition(|(name, _)| *name == self.default_member);
        let members = default.into_iter().chain(others);
        let members = members
            .map(|(name, member)| member.terms(name))
            .collect::<Result<Vec<_>, _>>()?;
        let terms = Config {
            tenants: members,
            ageing: span_ms("ageing_ms", self.ageing_ms, 1000.0, 10.0, 600_000.0)?,
            burst: span_ms("burst_ms", self.burst_ms, 2000.0, 10.0, 600_000.0)?,
            sub_queue_limit: QueueLimit {
                statements: count("desk_statements", self.desk_statements, 5000.0)?,
                cpu: cpu("desk_cpu_s", self.desk_cpu_s, 300.0)?,
            },
            total_limit: QueueLimit {
                statements: count("waiting_statements", self.waiting_statements, 20_000.0)?,
                cpu: cpu("waiting_cpu_s", self.waiting_cpu_s, 1000.0)?,
            },
        };
        Ok(self.enabled.then_some(terms))
    }
}

impl Member {
    fn terms(self, name: String) -> Result<TenantConfig, Fault> {
        let at = |field| ["queues", "member", &name, field].map(String::from);
        let path = at("cpu_s_per_s");
        let path: Vec<&str> = path.iter().map(String::as_str).collect();
        let budget = within(&path, Some(self.cpu_s_per_s), 0.0, 0.0, 1e6)?;
        let weight = within(
            &["queues", "member", &name, "weight"],
            self.weight,
            budget.max(0.01),
            1e-3,
            1e6,
        )?;
        let count = self.desk.len().max(1) as f64;
        let mut networks: BTreeSet<IpNet> = BTreeSet::new();
        let mut desks = Vec::new();
        for (desk_name, desk) in self.desk {
            let path = |field| ["queues", "member", &name, "desk", &desk_name, field];
            let owed = within(
                &path("cpu_s_per_s"),
                desk.cpu_s_per_s,
                budget / count,
                0.0,
                1e6,
            )?;
            let weight = within(&path("weight"), desk.weight, owed.max(0.01), 1e-3, 1e6)?;
            for network in &desk.networks {
                if !networks.insert(network.trunc()) {
                    return Err(fault(
                        &path("networks"),
                        format!("{network} is another desk's already"),
                    ));
                }
            }
            let share = CapacityShare {
                budget: owed,
                weight,
            };
            desks.push(SubQueueConfig {
                name: desk_name,
                share,
                networks: desk.networks,
            });
        }
        let owed: f64 = desks.iter().map(|desk| desk.share.budget).sum();
        if owed > budget * (1.0 + 1e-9) {
            let why = format!("its desks are owed {owed} together");
            return Err(fault(&["queues", "member", &name, "cpu_s_per_s"], why));
        }
        if desks.is_empty() {
            let share = CapacityShare { budget, weight };
            desks.push(SubQueueConfig {
                name: ONLY_DESK.to_owned(),
                share,
                networks: Vec::new(),
            });
        }
        if let Some(default) = self.default_desk {
            let at = desks.iter().position(|desk| desk.name == default);
            let at = at.ok_or_else(|| {
                fault(&["queues", "member", &name, "default_desk"], "no such desk")
            })?;
            desks[..=at].rotate_right(1);
        }
        Ok(TenantConfig {
            name,
            share: CapacityShare { budget, weight },
            sub_queues: desks,
        })
    }
}
