//! The JSON codec of the endpoint list. The discovery service's answers to polls and the
//! configuration's `known` both hold numbered events in this form.

use std::net::SocketAddr;

use admission::interface::{EngineStage, Timestamp};
use serde_json::Value;
use thiserror::Error;

const MILLIS_PER_SECOND: f64 = 1e3;

/// The scale of an engine for which the list gives none.
const UNKNOWN_SCALE: f64 = 1.0;

/// The cell of an engine for which the list gives none.
const ONLY_CELL: u16 = 0;

/// Why a list of events is invalid.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum EndpointListError {
    /// The field with this name is missing or has an invalid value.
    #[error("{0} is missing or cannot be used")]
    Field(&'static str),
}

/// An engine as described by the discovery service.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The unique name of the engine. A restarted engine gets a new one.
    pub uid: String,
    /// The address at which the engine accepts connections.
    pub address: SocketAddr,
    /// The name of the engine's location.
    pub location: String,
    /// The name of the engine's machine type.
    pub machine: String,
    /// The group of engines that share their record of idempotency keys.
    pub cell: u16,
    /// The stage of the engine's life cycle.
    pub stage: EngineStage,
    /// The capacity of the engine relative to a usual engine of its machine type.
    pub scale: f64,
    /// When the engine started, by the clock of another machine; `None` if the list does not give
    /// it.
    pub started: Option<Timestamp>,
}

/// A change of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointChange {
    /// The complete list of engines, which replaces the earlier one.
    Snapshot(Vec<Endpoint>),
    /// Engines that are new or changed. All others stay as they are.
    Update(Vec<Endpoint>),
}

impl EndpointChange {
    /// Whether the change holds the complete list of engines.
    #[must_use]
    pub fn is_snapshot(&self) -> bool {
        matches!(self, EndpointChange::Snapshot(_))
    }

    /// Returns the engines that the change names.
    #[must_use]
    pub fn endpoints(&self) -> &[Endpoint] {
        match self {
            EndpointChange::Snapshot(endpoints) | EndpointChange::Update(endpoints) => endpoints,
        }
    }
}

/// An event of the discovery service.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryEvent {
    /// The number of the event. Events are numbered consecutively.
    pub revision: u64,
    /// The change of the endpoint list; `None` for an event of another kind.
    pub change: Option<EndpointChange>,
}

/// The events after the revision that a poll names, up to and including `last_revision`.
#[derive(Clone, Debug, PartialEq)]
pub struct EventBatch {
    /// The number of the latest event of the service.
    pub last_revision: u64,
    /// The events in any order.
    pub events: Vec<DiscoveryEvent>,
}

impl EventBatch {
    /// Decodes a batch from JSON.
    ///
    /// # Errors
    ///
    /// A field is missing or invalid; the error names the first such field.
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
    // The service sends zero for an engine whose start is unknown.
    let started_ms = optional_quantity(json, "boot_ms")?.filter(|ms| *ms > 0.0);
    Ok(Endpoint {
        uid: text("uid")?.to_owned(),
        address: text("endpoint")?
            .parse()
            .map_err(|_| EndpointListError::Field("endpoint"))?,
        location: text("az")?.to_owned(),
        machine: text("model")?.to_owned(),
        cell: cell_from_json(json)?,
        stage,
        scale: optional_quantity(json, "capacity_hint")?.unwrap_or(UNKNOWN_SCALE),
        started: started_ms.map(|ms| Timestamp::from_secs(ms / MILLIS_PER_SECOND)),
    })
}

/// Returns the number in a field that a list may leave out; `None` if it is absent.
///
/// # Errors
///
/// The field is not a number, or is below zero.
fn optional_quantity(json: &Value, name: &'static str) -> Result<Option<f64>, EndpointListError> {
    let field = &json[name];
    if field.is_null() {
        return Ok(None);
    }
    let quantity = field.as_f64().filter(|quantity| *quantity >= 0.0);
    quantity.map(Some).ok_or(EndpointListError::Field(name))
}

/// Returns the cell of an engine. A wrong cell would let a statement with an idempotency key be
/// repeated at an engine that does not know the key, so an unusable one is an error.
fn cell_from_json(json: &Value) -> Result<u16, EndpointListError> {
    let field = &json["pod_group"];
    if field.is_null() {
        return Ok(ONLY_CELL);
    }
    let cell = field.as_u64().and_then(|cell| u16::try_from(cell).ok());
    cell.ok_or(EndpointListError::Field("pod_group"))
}
