//! Which gateways there are, who has failed, and what may be assumed while they disagree or are partitioned. The protocol is
//! SWIM with Lifeguard's local health awareness, and gossip that tolerates Byzantine nodes. Pure: datagrams and time in;
//! datagrams, events and the time of the next step out. Chance comes from a given seed. Nothing here does I/O.
//!
//! Gossip of one node alone moves nothing: what a node hears of a third one counts once as many independent witnesses say
//! it as may be Byzantine, and one more, or once the node has probed for itself. See docs/notes/fleet.md.
//!
//! [`Node`] composes the parts: each other module has one part of its state, and each module of [`node`] one flow of the
//! protocol.

mod anti_entropy;
mod config;
pub mod dissemination;
mod engine_broadcast;
pub mod engine_gossip;
pub mod keys;
mod local_health;
pub mod member;
pub mod member_entry;
pub mod member_table;
pub mod message;
pub mod metrics;
pub mod name_conflict;
pub mod node;
mod outstanding_probes;
pub mod probe_retries;
mod probe_round;
pub mod rate_limiter;
pub mod replay_window;
mod request_limits;
pub mod table_digest;
mod traffic_limits;
mod verifications;
pub mod view_state;
mod view_tracker;

pub use config::Config;
pub use engine_gossip::{EngineOutlier, EngineReport, EngineStatus};
pub use keys::{KeyError, KeyRing};
pub use member::{BootId, Incarnation, InvalidName, Locality, MemberState, Name, Record};
pub use member_entry::MemberEntry;
pub use member_table::MemberSummary;
pub use message::RejectReason;
pub use metrics::Metrics;
pub use node::{Datagram, Event, MAX_PAYLOAD_BYTES, Node, NodeSetup, ReceivedPayload};
pub use traffic_limits::TrafficLimits;
pub use view_state::{FleetAssumptions, ViewState};
