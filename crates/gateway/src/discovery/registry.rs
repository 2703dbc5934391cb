//! The engines that are listed now, by the discovery service's names and by the numbers that the decisions use.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use admission::interface::{
    CellId, EndpointUpdate, EngineId, EngineInfo, EngineStage, LocationId, MachineId, Timestamp,
};

use super::endpoints::{Endpoint, EndpointChange};
use super::start_times::StartTimes;

/// Numbers for the engines of the endpoint list; a number is never used a second time.
pub struct EngineRegistry {
    /// Names of locations, in the order of the settings.
    locations: Vec<String>,
    /// Names of kinds of machine, in the order of the settings.
    machines: Vec<String>,
    /// The number that was given last.
    last_id: u32,
    /// Listed engines by uid. A removed engine leaves, and would come back under another number.
    engines: BTreeMap<String, ListedEngine>,
    start_times: StartTimes,
}

/// A listed engine, and its start as it was dated when it was first heard of: another date would mean another start.
#[derive(Clone, Copy)]
struct ListedEngine {
    id: EngineId,
    /// As the list tells it.
    told_start: Option<Timestamp>,
    /// On this gateway's clock.
    started: Option<Timestamp>,
}

/// What a change of the endpoint list means to the rest of the gateway.
pub struct AppliedChange {
    /// The change as the decisions take it.
    pub update: EndpointUpdate,
    /// Where each named or removed engine is reached now.
    pub addresses: Vec<EngineAddress>,
    /// Engines that take nothing new from here on.
    pub not_ready: Vec<EngineId>,
}

/// Where an engine is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineAddress {
    /// The engine.
    pub engine: EngineId,
    /// Its address; none: it is listed no longer.
    pub address: Option<SocketAddr>,
}

impl EngineRegistry {
    /// A registry without engines. Locations and kinds of machine get their index in these lists as their number.
    #[must_use]
    pub fn new(locations: Vec<String>, machines: Vec<String>) -> Self {
        EngineRegistry {
            locations,
            machines,
            last_id: 0,
            engines: BTreeMap::new(),
            start_times: StartTimes::default(),
        }
    }

    /// The number of a listed engine.
    #[must_use]
    pub fn id(&self, uid: &str) -> Option<EngineId> {
        self.engines.get(uid).map(|engine| engine.id)
    }

    /// The unique name of a listed engine.
    #[must_use]
    pub fn uid(&self, id: EngineId) -> Option<&str> {
        self.engines
            .iter()
            .find(|(_, engine)| engine.id == id)
            .map(|(uid, _)| uid.as_str())
    }

    /// Takes a change of the endpoint list in.
    pub fn apply(&mut self, now: Timestamp, change: &EndpointChange) -> AppliedChange {
        self.observe_start_times(now, change);
        let mut addresses = Vec::new();
        let mut not_ready = Vec::new();
        if let EndpointChange::Snapshot(endpoints) = change {
            for engine in self.remove_unlisted(endpoints) {
                addresses.push(EngineAddress {
                    engine,
                    address: None,
                });
                not_ready.push(engine);
            }
        }
        let mut engines = Vec::new();
        for endpoint in change.endpoints() {
            let listed = self.list(now, endpoint);
            let engine = listed.id;
            let is_listed = endpoint.stage != EngineStage::Removed;
            addresses.push(EngineAddress {
                engine,
                address: is_listed.then_some(endpoint.address),
            });
            if endpoint.stage != EngineStage::Ready {
                not_ready.push(engine);
            }
            engines.push(self.describe(listed, endpoint));
        }
        let update = match change {
            EndpointChange::Snapshot(_) => EndpointUpdate::Snapshot(engines),
            EndpointChange::Update(_) => EndpointUpdate::Events(engines),
        };
        AppliedChange {
            update,
            addresses,
            not_ready,
        }
    }

    /// Removes all engines that a snapshot does not name, and returns them.
    fn remove_unlisted(&mut self, snapshot: &[Endpoint]) -> Vec<EngineId> {
        let is_listed = |uid: &String| snapshot.iter().any(|endpoint| endpoint.uid == *uid);
        self.engines
            .extract_if(.., |uid, _| !is_listed(uid))
            .map(|(_, engine)| engine.id)
            .collect()
    }

    /// Starts that are told for the first time date all others, so they are looked at first.
    fn observe_start_times(&mut self, now: Timestamp, change: &EndpointChange) {
        for endpoint in change.endpoints() {
            let known = self.engines.get(&endpoint.uid);
            let is_new = known.is_none_or(|engine| engine.told_start != endpoint.started);
            if let Some(told) = endpoint.started.filter(|_| is_new) {
                self.start_times.observe(now, told);
            }
        }
    }

    /// The engine with its number, a new one if it was not listed. A removed engine leaves the registry.
    fn list(&mut self, now: Timestamp, endpoint: &Endpoint) -> ListedEngine {
        let known = self.engines.get(&endpoint.uid).copied();
        let id = known.map_or_else(|| self.next_id(), |engine| engine.id);
        let engine = match known {
            Some(engine) if engine.told_start == endpoint.started => engine,
            _ => ListedEngine {
                id,
                told_start: endpoint.started,
                started: endpoint
                    .started
                    .map(|told| self.start_times.on_own_clock(now, told)),
            },
        };
        if endpoint.stage == EngineStage::Removed {
            self.engines.remove(&endpoint.uid);
        } else {
            self.engines.insert(endpoint.uid.clone(), engine);
        }
        engine
    }

    fn next_id(&mut self) -> EngineId {
        self.last_id += 1;
        EngineId(self.last_id)
    }

    fn describe(&self, engine: ListedEngine, endpoint: &Endpoint) -> EngineInfo {
        EngineInfo {
            id: engine.id,
            scale: endpoint.scale,
            location: LocationId(index_or_end(&self.locations, &endpoint.location)),
            machine: MachineId(index_or_end(&self.machines, &endpoint.machine)),
            cell: CellId(endpoint.cell),
            stage: endpoint.stage,
            started: engine.started,
        }
    }
}

/// The index of a name. One that the settings do not hold gets the index past their end, where no query class is bound.
fn index_or_end(names: &[String], name: &str) -> u16 {
    let index = names
        .iter()
        .position(|known| known == name)
        .unwrap_or(names.len());
    index as u16
}
