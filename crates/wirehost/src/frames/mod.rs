//! The wire's binary frames: batches of events in, replies of actions out. Names and positions are the wire page's.

mod batch;
mod codes;
mod error;
mod reply;

pub use batch::{Batch, Fields, TailRange, read_batch};
pub use codes::{EventCode, ListForm, OutcomeCode, StageCode};
pub use error::FrameError;
pub use reply::{Reply, encode_reply};
