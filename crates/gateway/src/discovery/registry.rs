//! The engines that discovery lists at present, and the ids that the scheduler uses for them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use admission::interface::{
    CellId, EndpointUpdate, EngineId, EngineInfo, EngineStage, LocationId, MachineId, Timestamp,
};

use super::endpoints::{Endpoint, EndpointChange};
use super::start_times::StartTimes;

/// Maps the engines of the endpoint list to ids. An id is never reused.
pub struct EngineRegistry {
    /// The names of locations, in the order of the settings.
    locations: Vec<String>,
    /// The names of machine types, in the order of the settings.
    machines: Vec<String>,
    /// The id that was assigned last.
    last_id: u32,
    /// The listed engines by uid. A removed engine that is listed again gets a new id.
    engines: BTreeMap<String, ListedEngine>,
    start_times: StartTimes,
}

/// A listed engine. Its start is converted to this gateway's clock only once for each listed start,
/// because a different result would be taken for a restart.
#[derive(Clone, Copy)]
struct ListedEngine {
    id: EngineId,
    /// The start that the list gives; `None` if it gives none.
    listed_start: Option<Timestamp>,
    /// The start by this gateway's clock; `None` if the list gives none.
    started: Option<Timestamp>,
}

/// The effects of a change of the endpoint list.
pub struct AppliedChange {
    /// The change in the form that the scheduler takes.
    pub update: EndpointUpdate,
    /// The address of each engine that the change names or removes.
    pub addresses: Vec<EngineAddress>,
    /// The engines that must not get new attempts, because they are draining or removed.
    pub not_ready: Vec<EngineId>,
}

/// The address of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineAddress {
    /// The id of the engine.
    pub engine: EngineId,
    /// The address at which the engine accepts connections; `None` if it is no longer listed.
    pub address: Option<SocketAddr>,
}

impl EngineRegistry {
    /// Creates a registry without engines. The id of a location or machine type is its index in
    /// these lists.
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

    /// Returns the id of the listed engine with this uid.
    #[must_use]
    pub fn id(&self, uid: &str) -> Option<EngineId> {
        self.engines.get(uid).map(|engine| engine.id)
    }

    /// Returns the uid of the listed engine with this id.
    #[must_use]
    pub fn uid(&self, id: EngineId) -> Option<&str> {
        self.engines
            .iter()
            .find(|(_, engine)| engine.id == id)
            .map(|(uid, _)| uid.as_str())
    }

    /// Applies a change of the endpoint list and returns its effects.
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
            let listed = self.register(now, endpoint);
            let engine = listed.id;
            let is_listed = endpoint.stage != EngineStage::Removed;
            addresses.push(EngineAddress {
                engine,
                address: is_listed.then_some(endpoint.address),
            });
            if endpoint.stage != EngineStage::Ready {
                not_ready.push(engine);
            }
            engines.push(self.engine_info(listed, endpoint));
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

    /// Removes all engines that a snapshot does not name, and returns their ids.
    fn remove_unlisted(&mut self, snapshot: &[Endpoint]) -> Vec<EngineId> {
        let listed: BTreeSet<&str> = snapshot
            .iter()
            .map(|endpoint| endpoint.uid.as_str())
            .collect();
        self.engines
            .extract_if(.., |uid, _| !listed.contains(uid.as_str()))
            .map(|(_, engine)| engine.id)
            .collect()
    }

    /// Observes the start times that a change lists for the first time. This must come before any
    /// of them is converted to this gateway's clock, because each conversion depends on all of
    /// them.
    fn observe_start_times(&mut self, now: Timestamp, change: &EndpointChange) {
        for endpoint in change.endpoints() {
            let known = self.engines.get(&endpoint.uid);
            let is_new = known.is_none_or(|engine| engine.listed_start != endpoint.started);
            if let Some(listed_start) = endpoint.started.filter(|_| is_new) {
                self.start_times.observe(now, listed_start);
            }
        }
    }

    /// Updates the registry with an endpoint and returns its engine, with a new id if it was not
    /// listed. A removed engine is dropped from the registry.
    fn register(&mut self, now: Timestamp, endpoint: &Endpoint) -> ListedEngine {
        let known = self.engines.get(&endpoint.uid).copied();
        let id = known.map_or_else(|| self.next_id(), |engine| engine.id);
        let engine = match known {
            Some(engine) if engine.listed_start == endpoint.started => engine,
            _ => ListedEngine {
                id,
                listed_start: endpoint.started,
                started: endpoint
                    .started
                    .map(|listed_start| self.start_times.on_own_clock(now, listed_start)),
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

    fn engine_info(&self, engine: ListedEngine, endpoint: &Endpoint) -> EngineInfo {
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

/// Returns the index of a name. A name that is not in the settings gets the index past their end,
/// to which no query class is bound.
fn index_or_end(names: &[String], name: &str) -> u16 {
    let index = names
        .iter()
        .position(|known| known == name)
        .unwrap_or(names.len());
    index as u16
}
