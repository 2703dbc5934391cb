//! The decisions in blocking style, as a client library is called: [`Dispatcher::pick`] an engine for a statement,
//! [`Dispatcher::report`] what happened to an attempt, [`Dispatcher::tick`] for the queued statements now due and when
//! to wake. What is learned of engines and quotas is passed in beside them.
//!
//! The dispatcher owns the open statements, the queue and the states of attempts. It decides nothing: every choice is
//! made by [`admission::policy`].

mod decision;
mod dispatcher;

pub use admission::interface::EngineView;
pub use decision::{AttemptOrder, Decision, FollowUp, StatementRequest, Tick};
pub use dispatcher::Dispatcher;
