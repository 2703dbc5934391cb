//! This gateway among the others: the I/O of the control plane (`crates/control`), which decides everything itself.
//!
//! | state | owner | bound | what empties it |
//! | --- | --- | --- | --- |
//! | UDP socket, membership | [`ClusterEndpoint`] | one descriptor; [`endpoint`] reads 64 datagrams a turn | the process's end |
//! | quota leases and their use | [`QuotaLeases`] | a budget an index, a usage record a tenant | a reload that drops the budget or tenant |
//! | ejections announced to others | `engine_gossip::EngineGossip` | one for each ejected engine | the ejection's end |
//! | log lines that may be written | `event_log::EventLog` | 20 at once, 5 a second | refilled with time |
//! | key files | the operator, by [`key_folder`] | 8 keys | the operator |
//!
//! The event loop calls [`ClusterEndpoint::turn`] when the socket is readable or [`ClusterEndpoint::next_wakeup`] has come.
//! Nothing waits: a datagram that the machine does not take at once is counted and lost, as the network may lose it too.

pub mod endpoint;
mod engine_gossip;
mod event_log;
pub mod key_folder;
pub mod quota_leases;

pub use endpoint::{ClusterEndpoint, ClusterError};
pub use quota_leases::{AttemptCharge, QuotaLeases};
