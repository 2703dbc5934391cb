//! What a node tells whoever runs it.

use admission::interface::TimeDelta;

use crate::member::{BootId, Incarnation, MemberState, Name};
use crate::view_state::ViewState;

/// What a node tells whoever runs it.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The record that is held of another node changed.
    MemberChanged {
        /// The other node.
        name: Name,
        /// Its state.
        state: MemberState,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Another node has been dead or left for long: nothing of it is kept.
    MemberForgotten(Name),
    /// The view state changed to this one.
    ViewStateChanged(ViewState),
    /// Others held this node for suspect, dead or left; it refuted at this incarnation.
    Refuted(Incarnation),
    /// This node's loop was late by so much.
    LoopStalled(TimeDelta),
    /// Another process has this name and answers.
    NameConflict {
        /// The other process.
        other: BootId,
    },
}
