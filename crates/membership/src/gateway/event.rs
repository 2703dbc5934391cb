//! What a gateway tells whoever runs it.

use admission::interface::TimeDelta;

use crate::standing::Standing;
use crate::who::{Incarnation, Life, Name, State};

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Another gateway's state as held here.
    Changed {
        name: Name,
        state: State,
        incarnation: Incarnation,
    },
    /// It has been gone for long: nothing of it is kept.
    Forgotten(Name),
    Standing(Standing),
    /// Others held this gateway for gone; it said that it is there.
    Refuted(Incarnation),
    /// This loop stood still for so long.
    StoodStill(TimeDelta),
    /// Another process has this name and answers: this one stays out for now.
    Doubled {
        other: Life,
    },
}
