//! The list's numbered events, in the form of the discovery service's answers and of the configuration's `known`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use admission::interface::*;
use serde_json::Value;
use thiserror::Error;

#[derive(Debug, Error, PartialEq, Eq)]
pub enum ListError {
    #[error("{0} is missing or cannot be used")]
    Field(&'static str),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    pub uid: String,
    pub address: SocketAddr,
    pub location: String,
    pub machine: String,
    pub cell: u16,
    pub stage: EngineStage,
    pub scale: f64,
    pub started: Option<Timestamp>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    pub number: u64,
    /// None: an event of a kind that is not the list's.
    pub list: Option<Change>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub whole: bool,
    pub targets: Vec<Target>,
}

/// Events up to and with number `last`.
#[derive(Clone, Debug, PartialEq)]
pub struct Events {
    pub last: u64,
    pub events: Vec<Event>,
}

impl Events {
    pub fn from_json(json: &Value) -> Result<Self, ListError> {
        let last = json["rev"].as_u64().ok_or(ListError::Field("rev"))?;
        let notices = json["notices"]
            .as_array()
            .ok_or(ListError::Field("notices"))?;
        let events = notices.iter().map(event).collect::<Result<_, _>>()?;
        Ok(Events { last, events })
    }
}

fn event(json: &Value) -> Result<Event, ListError> {
    let number = json["rev"]
        .as_u64()
        .ok_or(ListError::Field("notices.rev"))?;
    let Some(pool) = json.get("pool") else {
        return Ok(Event { number, list: None });
    };
    let targets = pool["targets"]
        .as_array()
        .ok_or(ListError::Field("targets"))?;
    let whole = pool["all"].as_bool().ok_or(ListError::Field("all"))?;
    let targets = targets.iter().map(target).collect::<Result<_, _>>()?;
    Ok(Event {
        number,
        list: Some(Change { whole, targets }),
    })
}

fn target(json: &Value) -> Result<Target, ListError> {
    let text = |name: &'static str| json[name].as_str().ok_or(ListError::Field(name));
    let stage = match text("state")? {
        "in_service" => EngineStage::Ready,
        "terminating" => EngineStage::Draining,
        "terminated" => EngineStage::Removed,
        _ => return Err(ListError::Field("state")),
    };
    let started = json["boot_ms"].as_f64().filter(|ms| *ms > 0.0);
    Ok(Target {
        uid: text("uid")?.to_owned(),
        address: text("endpoint")?
            .parse()
            .map_err(|_| ListError::Field("endpoint"))?,
        location: text("az")?.to_owned(),
        machine: text("model")?.to_owned(),
        cell: json["pod_group"].as_u64().unwrap_or(0).min(u16::MAX.into()) as u16,
        stage,
        scale: json["capacity_hint"].as_f64().unwrap_or(1.0),
        started: started.map(|ms| Timestamp::from_secs(ms / 1e3)),
    })
}

/// Names of the list as the decisions know them, by the settings' order of places and machines.
pub struct Names {
    locations: Vec<String>,
    machines: Vec<String>,
    next: u32,
    /// Listed engines by uid; an engine told gone leaves, and would come back as another.
    engines: BTreeMap<String, EngineId>,
}

/// What a change means: facts for the decisions, and each engine's address, none when it is gone.
pub struct Told {
    pub news: EndpointUpdate,
    pub addresses: Vec<(EngineId, Option<SocketAddr>)>,
    /// Engines that take nothing new from here on.
    pub closed: Vec<EngineId>,
}

impl Names {
    pub fn new(locations: Vec<String>, machines: Vec<String>) -> Self {
        Names {
            locations,
            machines,
            next: 0,
            engines: BTreeMap::new(),
        }
    }

    pub fn id(&self, uid: &str) -> Option<EngineId> {
        self.engines.get(uid).copied()
    }

    pub fn uid(&self, id: EngineId) -> Option<&str> {
        self.engines
            .iter()
            .find(|(_, of)| **of == id)
            .map(|(uid, _)| &uid[..])
    }

    pub fn told(&mut self, change: &Change) -> Told {
        let (mut addresses, mut closed) = (Vec::new(), Vec::new());
        if change.whole {
            // Whoever is not in a whole list is gone.
            let listed = |uid: &String| change.targets.iter().any(|target| target.uid == *uid);
            let gone = self.engines.extract_if(.., |uid, _| !listed(uid));
            addresses.extend(gone.map(|(_, id)| (id, None)));
            closed.extend(addresses.iter().map(|(id, _)| *id));
        }
        let mut facts = Vec::new();
        for target in &change.targets {
            let id = *self.engines.entry(target.uid.clone()).or_insert_with(|| {
                self.next += 1;
                EngineId(self.next)
            });
            let gone = target.stage == EngineStage::Removed;
            if gone {
                self.engines.remove(&target.uid);
            }
            addresses.push((id, (!gone).then_some(target.address)));
            closed.extend((target.stage != EngineStage::Ready).then_some(id));
            // Names that the settings do not hold stand past their end, where no query class is bound.
            let place = |of: &[String], name: &String| {
                of.iter().position(|n| n == name).unwrap_or(of.len())
            };
            facts.push(EngineInfo {
                id,
                scale: target.scale,
                location: LocationId(place(&self.locations, &target.location) as u16),
                machine: MachineId(place(&self.machines, &target.machine) as u16),
                cell: CellId(target.cell),
                stage: target.stage,
                started: target.started,
            });
        }
        let news = if change.whole {
            EndpointUpdate::Snapshot(facts)
        } else {
            EndpointUpdate::Events(facts)
        };
        Told {
            news,
            addresses,
            closed,
        }
    }
}
