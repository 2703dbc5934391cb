//! Reports of engines: who saw what of which engine, and how long ago. A report counts once as many independent nodes make
//! it as may be Byzantine, and one more. It ejects no engine by itself: see [`EngineGossip::outliers`].

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

use admission::interface::{TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};

use crate::config::Config;
use crate::member::Name;

/// Engines of which reports are kept at most: a Byzantine node's list is cut, the oldest report first.
const MAX_ENGINES: usize = 1024;
/// Witnesses kept of one engine, the latest.
const MAX_WITNESSES: usize = 16;
/// Reports that go with one message at most.
pub const MAX_REPORTS_PER_MESSAGE: usize = 16;
/// Bytes of an engine's name at most.
const MAX_ENGINE_NAME_LENGTH: usize = 64;
/// The same observation is worth telling again after this.
const REPEAT_AFTER_S: f64 = 1.0;

/// What a node saw of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EngineStatus {
    /// It failed, rejected, or fell silent: the node lost statements to it.
    Failing,
    /// It completed again for a node that had lost some.
    Recovered,
}

/// A report as it goes over the wire. Engines go by their name in the endpoint list, since numbers are each gateway's own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The engine's name in the endpoint list.
    pub engine: String,
    /// What was seen of it.
    pub status: EngineStatus,
    /// How long ago, in milliseconds.
    pub age_ms: u32,
}

/// What this node saw of an engine itself.
#[derive(Clone, Copy, Debug)]
struct Observation {
    status: EngineStatus,
    seen: Timestamp,
}

/// What another node reported of an engine.
#[derive(Clone, Copy, Debug)]
struct WitnessReport {
    status: EngineStatus,
    seen: Timestamp,
    host: IpAddr,
}

/// An engine that enough other nodes lost statements to.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOutlier {
    /// The engine's name in the endpoint list.
    pub engine: String,
    /// What was seen there was seen no later than this.
    pub seen: Timestamp,
    /// It says nothing any more from here on.
    pub until: Timestamp,
}

/// Reports of engines, of this node and of others.
#[derive(Clone, Debug, Default)]
pub struct EngineGossip {
    local: BTreeMap<String, Observation>,
    reported: BTreeMap<String, BTreeMap<Name, WitnessReport>>,
}

impl EngineGossip {
    /// Takes in what this node saw itself. True: it is new, and others may want to know soon.
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
            before.status != status || (now - before.seen).secs() > REPEAT_AFTER_S
        })
    }

    /// Takes in a known node's report; of one node the latest evidence holds.
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

    /// Drops evidence that is older than it counts.
    pub fn expire(&mut self, now: Timestamp, config: &Config) {
        let fresh = |seen: Timestamp| now - seen < config.engine_report_lifetime;
        self.local.retain(|_, observation| fresh(observation.seen));
        for witnesses in self.reported.values_mut() {
            witnesses.retain(|_, report| fresh(report.seen));
        }
        self.reported.retain(|_, witnesses| !witnesses.is_empty());
    }

    /// Engines that as many independent nodes as needed lost statements to. One host is one witness, since whoever holds a
    /// host may run many nodes there. Own evidence of the engine at work outweighs what is older.
    #[must_use]
    pub fn outliers(&self, config: &Config) -> Vec<EngineOutlier> {
        self.reported
            .keys()
            .filter_map(|engine| self.outlier(engine, config))
            .collect()
    }

    fn outlier(&self, engine: &str, config: &Config) -> Option<EngineOutlier> {
        let need = config.required_witnesses();
        let recovered_here = self
            .local
            .get(engine)
            .filter(|observation| observation.status == EngineStatus::Recovered)
            .map(|observation| observation.seen);
        let is_newer =
            |report: &&WitnessReport| recovered_here.is_none_or(|seen| report.seen > seen);
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
        if recovered.len() >= need {
            failing.retain(|_, seen| Some(*seen) > last_recovered);
        }
        let mut times: Vec<Timestamp> = failing.into_values().collect();
        times.sort();
        // With so many newer ones beside it, at least one of the witnesses at or after this time is not Byzantine.
        let index = times.len().checked_sub(need)?;
        let seen = *times.get(index)?;
        Some(EngineOutlier {
            engine: engine.to_owned(),
            seen,
            until: seen + config.engine_report_lifetime,
        })
    }

    /// Reports that go with a message, the latest first: own observations, and outliers by enough others' reports, never
    /// fresher than their evidence.
    #[must_use]
    pub fn to_send(&self, now: Timestamp, config: &Config) -> Vec<EngineReport> {
        let local = self
            .local
            .iter()
            .map(|(engine, observation)| (engine.clone(), *observation));
        let by_others = self
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
        let mut all: Vec<(String, Observation)> = local.chain(by_others).collect();
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

/// Removes the entry with the least time; of several, the first by name.
fn remove_oldest<K: Ord + Clone, V, T: Ord>(entries: &mut BTreeMap<K, V>, time: impl Fn(&V) -> T) {
    let oldest = entries
        .iter()
        .min_by_key(|(_, value)| time(value))
        .map(|(key, _)| key.clone());
    if let Some(key) = oldest {
        entries.remove(&key);
    }
}

/// Whole milliseconds, as ages go over the wire.
fn whole_millis(age: TimeDelta) -> u32 {
    (age.secs() * 1e3).clamp(0.0, f64::from(u32::MAX)) as u32
}
