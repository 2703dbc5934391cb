//! Membership's events as log lines, at a bounded rate.

use ::membership::{Event, Incarnation, MemberState, Name, Node};
use admission::interface::Timestamp;
use tracing::{info, warn};

/// Events in the log a second; further ones are only counted.
const LINES_PER_S: f64 = 5.0;
/// Events in the log at once after a quiet time.
const BURST_LINES: f64 = LINES_PER_S * 4.0;

/// Writes membership's events to the log.
pub(super) struct EventLog {
    /// Lines that may be written now.
    available: f64,
    refilled: Timestamp,
    suppressed: u64,
}

impl EventLog {
    /// A log that may write a second's lines at once.
    pub(super) fn new(now: Timestamp) -> Self {
        EventLog {
            available: LINES_PER_S,
            refilled: now,
            suppressed: 0,
        }
    }

    /// Events that were not written because there were too many.
    pub(super) fn suppressed(&self) -> u64 {
        self.suppressed
    }

    /// Writes all events that membership has by now.
    pub(super) fn log(&mut self, now: Timestamp, membership: &mut Node) {
        let elapsed_s = (now - self.refilled).secs().max(0.0);
        self.available = (self.available + elapsed_s * LINES_PER_S).min(BURST_LINES);
        self.refilled = now;
        for event in membership.take_events() {
            if self.available < 1.0 {
                self.suppressed += 1;
                continue;
            }
            self.available -= 1.0;
            write_line(&event, membership);
        }
    }
}

fn write_line(event: &Event, membership: &Node) {
    match event {
        Event::MemberChanged {
            name,
            state,
            incarnation,
        } => write_member_change(name, *state, *incarnation),
        Event::MemberForgotten(name) => info!(gateway = %name, "membership: member removed"),
        Event::ViewStateChanged(state) => info!(
            view_state = state.name(),
            detail = %state,
            fleet_size = membership.fleet_size(),
            "membership: view state changed"
        ),
        Event::Refuted(incarnation) => warn!(
            incarnation = incarnation.0,
            "membership: refuted that this gateway is gone"
        ),
        Event::LoopStalled(duration) => {
            warn!(seconds = duration.secs(), "membership: event loop stalled");
        }
        Event::NameConflict { .. } => warn!(
            name = %membership.local_record().name,
            "membership: name conflict with another process; this one stays out for now"
        ),
    }
}

fn write_member_change(name: &Name, state: MemberState, incarnation: Incarnation) {
    let incarnation = incarnation.0;
    match state {
        MemberState::Suspect | MemberState::Dead => {
            warn!(gateway = %name, %state, incarnation, "membership: member changed");
        }
        MemberState::Alive | MemberState::Left => {
            info!(gateway = %name, %state, incarnation, "membership: member changed");
        }
    }
}
