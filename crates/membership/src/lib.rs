//! Fleet membership: which gateways exist, which of them have failed, and what a gateway may assume
//! while views differ or the fleet is partitioned. The protocol is SWIM with Lifeguard's local
//! health awareness and Byzantine-tolerant gossip.
//!
//! The crate performs no I/O. Its inputs are datagrams and the current time; its outputs are
//! datagrams, events and the time at which the next step is due. All randomness comes from the seed
//! that the caller passes in.
//!
//! What a single node claims about another one has no effect by itself. A claim takes effect once
//! `max_byzantine + 1` independent witnesses make it, or once this node has verified it with a
//! probe of its own. See docs/notes/fleet.md.
//!
//! [`Node`] is the entry point. Each module of [`node`] implements one flow of the protocol; the
//! other modules each hold one part of the node's state.

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
