//! The gateway's side of the fleet: the I/O for the control plane (`crates/control`), which makes
//! all decisions.
//!
//! | state | owner | bound | released by |
//! | --- | --- | --- | --- |
//! | UDP socket, membership | [`ClusterEndpoint`] | one descriptor; [`endpoint`] reads 64 datagrams per turn | process exit |
//! | quota leases and their use | [`QuotaLeases`] | an index per budget, a usage record per tenant | a reload that removes the budget or tenant |
//! | announced ejections | `engine_gossip::EngineGossip` | one per ejected engine | the end of the ejection |
//! | tokens for log lines | `event_log::EventLog` | 20 at once, 5 per second | refilled over time |
//! | key files | the operator, through [`key_folder`] | 8 keys | the operator |
//!
//! The event loop calls [`ClusterEndpoint::turn`] when the socket is readable or when
//! [`ClusterEndpoint::next_wakeup`] is reached. Nothing blocks: a datagram that the kernel does not
//! accept at once is counted and dropped, since the protocols tolerate datagram loss anyway.

pub mod endpoint;
mod engine_gossip;
mod event_log;
pub mod key_folder;
pub mod quota_leases;

pub use endpoint::{ClusterEndpoint, ClusterError};
pub use quota_leases::{AttemptCharge, QuotaLeases};
