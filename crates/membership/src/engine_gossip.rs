//! Engine reports: which node observed which status of an engine, and how long ago. A report takes
//! effect once `max_byzantine + 1` independent hosts make it, and even then it does not eject an
//! engine by itself: see [`EngineGossip::outliers`].

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

use admission::interface::{TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::member::Name;

/// The maximum number of engines for which reports are kept. It bounds what a Byzantine node can
/// add; the engine with the oldest report is evicted first.
const MAX_ENGINES: usize = 1024;
/// The maximum number of witnesses kept for one engine. The latest ones are kept.
const MAX_WITNESSES: usize = 16;
/// The maximum number of reports in one message.
pub const MAX_REPORTS_PER_MESSAGE: usize = 16;
/// The maximum length of an engine's name, in bytes.
const MAX_ENGINE_NAME_LENGTH: usize = 64;
/// The interval after which an unchanged observation is broadcast again, in seconds.
const REPEAT_INTERVAL_S: f64 = 1.0;

/// The status of an engine as a node observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EngineStatus {
    /// The engine failed, rejected a statement or stopped responding, and the node lost statements
    /// to it.
    Failing,
    /// The engine completed a statement again, for a node that had lost some.
    Recovered,
}

/// A report on the wire. It identifies an engine by its name in the endpoint list, because each
/// gateway numbers engines on its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The name of the engine in the endpoint list.
    pub engine: String,
    /// The observed status.
    pub status: EngineStatus,
    /// The age of the observation, in milliseconds.
    pub age_ms: u32,
}

/// What this node itself observed of an engine.
#[derive(Clone, Copy, Debug)]
struct Observation {
    status: EngineStatus,
    seen: Timestamp,
}

/// What another node reported about an engine.
#[derive(Clone, Copy, Debug)]
struct WitnessReport {
    status: EngineStatus,
    seen: Timestamp,
    host: IpAddr,
}

/// An engine that enough other nodes lost statements to.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOutlier {
    /// The name of the engine in the endpoint list.
    pub engine: String,
    /// The time of the evidence. At least one honest witness lost statements at this time or later.
    pub seen: Timestamp,
    /// When the evidence expires.
    pub until: Timestamp,
}

/// The engine reports of this node and of others.
#[derive(Clone, Debug, Default)]
pub struct EngineGossip {
    local: BTreeMap<String, Observation>,
    reported: BTreeMap<String, BTreeMap<Name, WitnessReport>>,
}

impl EngineGossip {
    /// Records an observation of this node. Returns true if it is new, in which case other nodes
    /// should be told soon.
    pub fn observe(&mut self, now: Timestamp, engine: &str, status: EngineStatus) -> bool {
        if !is_engine_name(engine) {
            return false;
        }
        let observation = Observation { status, seen: now };
        let before = self.local.insert(engine.to_owned(), observation);
        if self.local.len() > MAX_ENGINES {
            remove_oldest(&mut self.local, |observation| observation.seen);
        }
        before.is_none_or(|before| {
            before.status != status || (now - before.seen).secs() > REPEAT_INTERVAL_S
        })
    }

    /// Records the report of a known node. Only the latest evidence of each node is kept.
    pub fn receive(&mut self, now: Timestamp, witness: &Name, host: IpAddr, report: &EngineReport) {
        if !is_engine_name(&report.engine) {
            return;
        }
        if !self.reported.contains_key(&report.engine) && self.reported.len() >= MAX_ENGINES {
            remove_oldest(&mut self.reported, |witnesses| {
                witnesses.values().map(|report| report.seen).max()
            });
        }
        let witnesses = self.reported.entry(report.engine.clone()).or_default();
        if witnesses.len() >= MAX_WITNESSES && !witnesses.contains_key(witness) {
            remove_oldest(witnesses, |report| report.seen);
        }
        let received = WitnessReport {
            status: report.status,
            seen: now + TimeDelta::from_secs(-f64::from(report.age_ms) / 1e3),
            host,
        };
        let latest = witnesses.entry(witness.clone()).or_insert(received);
        if received.seen >= latest.seen {
            *latest = received;
        }
    }

    /// Drops expired evidence.
    pub fn expire(&mut self, now: Timestamp, config: &Config) {
        let fresh = |seen: Timestamp| now - seen < config.engine_report_lifetime;
        self.local.retain(|_, observation| fresh(observation.seen));
        for witnesses in self.reported.values_mut() {
            witnesses.retain(|_, report| fresh(report.seen));
        }
        self.reported.retain(|_, witnesses| !witnesses.is_empty());
    }

    /// Returns the engines that enough independent nodes lost statements to. Nodes on one host
    /// count as one witness, because whoever controls a host can run many nodes there. If this node
    /// itself saw the engine recover, older reports are ignored.
    #[must_use]
    pub fn outliers(&self, config: &Config) -> Vec<EngineOutlier> {
        self.reported
            .keys()
            .filter_map(|engine| self.outlier(engine, config))
            .collect()
    }

    fn outlier(&self, engine: &str, config: &Config) -> Option<EngineOutlier> {
        let required = config.required_witnesses();
        let last_recovered_locally = self
            .local
            .get(engine)
            .filter(|observation| observation.status == EngineStatus::Recovered)
            .map(|observation| observation.seen);
        let is_newer =
            |report: &&WitnessReport| last_recovered_locally.is_none_or(|seen| report.seen > seen);
        let reports = self.reported.get(engine)?.values().filter(is_newer);
        let mut failing: BTreeMap<IpAddr, Timestamp> = BTreeMap::new();
        let mut recovered: BTreeSet<IpAddr> = BTreeSet::new();
        let mut last_recovered = None;
        for report in reports {
            match report.status {
                EngineStatus::Failing => {
                    let latest = failing.entry(report.host).or_insert(report.seen);
                    *latest = (*latest).max(report.seen);
                }
                EngineStatus::Recovered => {
                    recovered.insert(report.host);
                    last_recovered = last_recovered.max(Some(report.seen));
                }
            }
        }
        if recovered.len() >= required {
            failing.retain(|_, seen| Some(*seen) > last_recovered);
        }
        let mut times: Vec<Timestamp> = failing.into_values().collect();
        times.sort();
        // At least `required` hosts reported a failure at this time or later, so at least one of
        // them is not Byzantine.
        let index = times.len().checked_sub(required)?;
        let seen = *times.get(index)?;
        Some(EngineOutlier {
            engine: engine.to_owned(),
            seen,
            until: seen + config.engine_report_lifetime,
        })
    }

    /// Returns the reports to include in a message, the latest first: this node's own observations,
    /// and outliers that other nodes reported. A forwarded report is never dated later than its
    /// evidence.
    #[must_use]
    pub fn to_send(&self, now: Timestamp, config: &Config) -> Vec<EngineReport> {
        let local = self
            .local
            .iter()
            .map(|(engine, observation)| (engine.clone(), *observation));
        let from_others = self
            .outliers(config)
            .into_iter()
            .filter(|outlier| !self.local.contains_key(&outlier.engine))
            .map(|outlier| {
                let observation = Observation {
                    status: EngineStatus::Failing,
                    seen: outlier.seen,
                };
                (outlier.engine, observation)
            });
        let mut all: Vec<(String, Observation)> = local.chain(from_others).collect();
        all.sort_by(|(engine, observation), (other_engine, other)| {
            let latest_first = other.seen.cmp(&observation.seen);
            latest_first.then_with(|| engine.cmp(other_engine))
        });
        all.truncate(MAX_REPORTS_PER_MESSAGE);
        all.into_iter()
            .map(|(engine, observation)| EngineReport {
                engine,
                status: observation.status,
                age_ms: whole_millis(now - observation.seen),
            })
            .collect()
    }
}

fn is_engine_name(engine: &str) -> bool {
    !engine.is_empty() && engine.len() <= MAX_ENGINE_NAME_LENGTH
}

/// Removes the entry with the smallest time and, among equals, the one with the smallest key.
fn remove_oldest<K: Ord + Clone, V, T: Ord>(entries: &mut BTreeMap<K, V>, time: impl Fn(&V) -> T) {
    let oldest = entries
        .iter()
        .min_by_key(|(_, value)| time(value))
        .map(|(key, _)| key.clone());
    if let Some(key) = oldest {
        entries.remove(&key);
    }
}

/// Converts an age to whole milliseconds, the unit of ages on the wire.
fn whole_millis(age: TimeDelta) -> u32 {
    (age.secs() * 1e3).clamp(0.0, f64::from(u32::MAX)) as u32
}
