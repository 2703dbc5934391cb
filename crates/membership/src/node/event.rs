//! Events that a node reports to the program that runs it.

use admission::interface::TimeDelta;

use crate::member::{BootId, Incarnation, MemberState, Name};
use crate::view_state::ViewState;

/// An event that a node reports to the program that runs it.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The record of another node changed.
    MemberChanged {
        /// The other node.
        name: Name,
        /// Its new state.
        state: MemberState,
        /// Its incarnation after the change.
        incarnation: Incarnation,
    },
    /// A member was removed from the table after it had been dead or left for the retention time.
    MemberForgotten(Name),
    /// The view state changed to this one.
    ViewStateChanged(ViewState),
    /// Another node reported this one as suspect, dead or left, and this node refuted it with this
    /// incarnation.
    Refuted(Incarnation),
    /// The loop that runs this node was late by this much.
    LoopStalled(TimeDelta),
    /// Another process uses this node's name and answered a probe.
    NameConflict {
        /// The boot id of the other process.
        other: BootId,
    },
}
