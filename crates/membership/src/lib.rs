//! Which gateways there are, who has failed, and what holds while they disagree or are cut off. Pure: datagrams and
//! time in, datagrams, events and the next due time out; chance from a given seed. Nothing here does I/O.
//!
//! One word alone moves nothing: what a gateway hears of a third one counts once as many independent gateways say it as
//! could lie, and one more, or once it has looked for itself. See docs/notes/fleet.md.

mod bounds;
pub mod buckets;
pub mod engines;
pub mod gateway;
pub mod keys;
pub mod message;
pub mod metrics;
pub mod probes;
pub mod standing;
pub mod table;
pub mod terms;
pub mod who;

pub use bounds::Bounds;
pub use engines::{EngineNews, EngineWord};
pub use gateway::{Datagram, Event, Gateway, Tally};
pub use keys::{KeyError, Ring};
/// The module of messages, by the name it had before.
pub use message as letter;
pub use message::Refused;
pub use metrics::Metrics;
pub use standing::{Assumed, Standing};
pub use table::Row;
pub use terms::Terms;
pub use who::{Incarnation, Life, Locality, Name, Record, State};
