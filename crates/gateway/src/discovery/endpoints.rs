//! JSON codec of the endpoint list: numbered events, as the discovery service answers a poll and as the
//! configuration's `known` holds them.

use std::net::SocketAddr;

use admission::interface::{EngineStage, Timestamp};
use serde_json::Value;
use thiserror::Error;

/// Milliseconds in a second.
const MILLIS_PER_SECOND: f64 = 1e3;

/// Why a list of events cannot be read.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum EndpointListError {
    /// This field is missing, or has a value of no use.
    #[error("{0} is missing or cannot be used")]
    Field(&'static str),
}

/// One engine, as the discovery service describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its unique name; an engine that is started anew gets another.
    pub uid: String,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// The name of its location.
    pub location: String,
    /// The name of its kind of machine.
    pub machine: String,
    /// Engines of one cell share what they remember of idempotency keys.
    pub cell: u16,
    /// Where it is in its life.
    pub stage: EngineStage,
    /// Its size, beside the usual engine of its machine kind.
    pub scale: f64,
    /// When it was started; none where not told.
    pub started: Option<Timestamp>,
}

/// What an event changes in the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointChange {
    /// These are all engines that there are.
    Snapshot(Vec<Endpoint>),
    /// These engines are new or changed; all others stay as they are.
    Update(Vec<Endpoint>),
}

impl EndpointChange {
    /// Whether it tells of all engines.
    #[must_use]
    pub fn is_snapshot(&self) -> bool {
        matches!(self, EndpointChange::Snapshot(_))
    }

    /// The engines that it names.
    #[must_use]
    pub fn endpoints(&self) -> &[Endpoint] {
        match self {
            EndpointChange::Snapshot(endpoints) | EndpointChange::Update(endpoints) => endpoints,
        }
    }
}

/// One event of the discovery service.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryEvent {
    /// Its number; each event has the number of the one before it plus one.
    pub revision: u64,
    /// What it changes in the endpoint list; none for an event of another kind.
    pub change: Option<EndpointChange>,
}

/// The events up to and with `last_revision`, as far as they were asked for.
#[derive(Clone, Debug, PartialEq)]
pub struct EventBatch {
    /// The number of the service's latest event.
    pub last_revision: u64,
    /// The events, in any order.
    pub events: Vec<DiscoveryEvent>,
}

impl EventBatch {
    /// Reads a batch from its JSON form.
    ///
    /// # Errors
    ///
    /// The first field that is missing or cannot be used.
    pub fn from_json(json: &Value) -> Result<Self, EndpointListError> {
        let last_revision = json["rev"]
            .as_u64()
            .ok_or(EndpointListError::Field("rev"))?;
        let notices = json["notices"]
            .as_array()
            .ok_or(EndpointListError::Field("notices"))?;
        let events = notices
            .iter()
            .map(event_from_json)
            .collect::<Result<_, _>>()?;
        Ok(EventBatch {
            last_revision,
            events,
        })
    }
}

fn event_from_json(json: &Value) -> Result<DiscoveryEvent, EndpointListError> {
    let revision = json["rev"]
        .as_u64()
        .ok_or(EndpointListError::Field("notices.rev"))?;
    let change = json.get("pool").map(change_from_json).transpose()?;
    Ok(DiscoveryEvent { revision, change })
}

fn change_from_json(pool: &Value) -> Result<EndpointChange, EndpointListError> {
    let targets = pool["targets"]
        .as_array()
        .ok_or(EndpointListError::Field("targets"))?;
    let is_snapshot = pool["all"]
        .as_bool()
        .ok_or(EndpointListError::Field("all"))?;
    let endpoints = targets
        .iter()
        .map(endpoint_from_json)
        .collect::<Result<_, _>>()?;
    if is_snapshot {
        Ok(EndpointChange::Snapshot(endpoints))
    } else {
        Ok(EndpointChange::Update(endpoints))
    }
}

fn endpoint_from_json(json: &Value) -> Result<Endpoint, EndpointListError> {
    let text = |name: &'static str| json[name].as_str().ok_or(EndpointListError::Field(name));
    let stage = match text("state")? {
        "in_service" => EngineStage::Ready,
        "terminating" => EngineStage::Draining,
        "terminated" => EngineStage::Removed,
        _ => return Err(EndpointListError::Field("state")),
    };
    // Zero stands for an engine whose start is not known.
    let started_ms = json["boot_ms"].as_f64().filter(|ms| *ms > 0.0);
    let cell = json["pod_group"].as_u64().unwrap_or(0);
    Ok(Endpoint {
        uid: text("uid")?.to_owned(),
        address: text("endpoint")?
            .parse()
            .map_err(|_| EndpointListError::Field("endpoint"))?,
        location: text("az")?.to_owned(),
        machine: text("model")?.to_owned(),
        cell: cell.min(u16::MAX.into()) as u16,
        stage,
        scale: json["capacity_hint"].as_f64().unwrap_or(1.0),
        started: started_ms.map(|ms| Timestamp::from_secs(ms / MILLIS_PER_SECOND)),
    })
}
