//! The binary frames of the simulator's protocol: batches of events are read, and replies with
//! actions are written. Names and field positions are those of the protocol's specification.

mod batch;
mod codes;
mod error;
mod reply;

pub use batch::{Batch, Fields, TailRange, read_batch};
pub use codes::{EventCode, ListForm, OutcomeCode, StageCode};
pub use error::FrameError;
pub use reply::{Reply, encode_reply};
