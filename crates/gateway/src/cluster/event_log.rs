//! Writes membership events to the log, at a limited rate.

use ::membership::{Event, Incarnation, MemberState, Name, Node};
use admission::interface::Timestamp;
use tracing::{info, warn};

/// Events logged per second. Further events are only counted.
const MAX_LINES_PER_S: f64 = 5.0;
/// Largest burst of logged events after a quiet period.
const MAX_BURST_LINES: f64 = MAX_LINES_PER_S * 4.0;

/// Logs membership events through a token bucket.
pub(super) struct EventLog {
    /// Tokens in the bucket: lines that may be written now.
    available_lines: f64,
    refilled_at: Timestamp,
    suppressed: u64,
}

impl EventLog {
    /// Creates a log that may write one second's worth of lines at once.
    pub(super) fn new(now: Timestamp) -> Self {
        EventLog {
            available_lines: MAX_LINES_PER_S,
            refilled_at: now,
            suppressed: 0,
        }
    }

    /// Events that were dropped by the rate limit.
    pub(super) fn suppressed(&self) -> u64 {
        self.suppressed
    }

    /// Logs all pending membership events.
    pub(super) fn log(&mut self, now: Timestamp, membership: &mut Node) {
        let elapsed_s = (now - self.refilled_at).secs().max(0.0);
        self.available_lines =
            (self.available_lines + elapsed_s * MAX_LINES_PER_S).min(MAX_BURST_LINES);
        self.refilled_at = now;
        for event in membership.take_events() {
            if self.available_lines < 1.0 {
                self.suppressed += 1;
                continue;
            }
            self.available_lines -= 1.0;
            write_event(&event, membership);
        }
    }
}

fn write_event(event: &Event, membership: &Node) {
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
            "membership: refuted a suspicion or death report about this gateway"
        ),
        Event::LoopStalled(duration) => {
            warn!(seconds = duration.secs(), "membership: event loop stalled");
        }
        Event::NameConflict { .. } => warn!(
            name = %membership.local_record().name,
            "membership: another process uses this gateway's name; not joining for now"
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
