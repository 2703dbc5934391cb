//! A synchronous interface to the admission policy, for use like a client library.
//!
//! The caller submits a statement with [`Dispatcher::pick`], reports events of its attempts with
//! [`Dispatcher::report`], and calls [`Dispatcher::tick`] for the queued statements that are due
//! and the time of the next tick. Separate methods take in updates about engines and quotas.
//!
//! The dispatcher holds the open statements, the queue and the states of attempts. It makes no
//! decisions of its own: every decision comes from [`admission::policy`].

mod decision;
mod dispatcher;

pub use admission::interface::EngineView;
pub use decision::{AttemptOrder, Decision, FollowUp, StatementRequest, Tick};
pub use dispatcher::Dispatcher;
