//! The one timer of the event loop, set to whatever is due first: all that is due ends in the same turn.

use admission::interface::Timestamp;
use calloop::RegistrationToken;
use calloop::timer::{TimeoutAction, Timer};

use crate::clock::Clock;
use crate::socket::{EventLoopHandle, LoopEvents};

struct ArmedTimer {
    due: Timestamp,
    token: RegistrationToken,
}

/// Wakes the event loop at the time that it was armed for last.
#[derive(Default)]
pub(super) struct WakeTimer {
    armed: Option<ArmedTimer>,
}

impl WakeTimer {
    /// Sets the timer; one that is set for this time already stays.
    ///
    /// # Errors
    /// The event loop takes no timer.
    pub(super) fn arm(
        &mut self,
        due: Timestamp,
        clock: &Clock,
        handle: &EventLoopHandle,
    ) -> calloop::Result<()> {
        if let Some(armed) = &self.armed {
            if armed.due == due {
                return Ok(());
            }
            handle.remove(armed.token);
        }
        self.armed = None;
        let on_due = |_, _: &mut (), ready: &mut LoopEvents| {
            ready.timer_fired = true;
            TimeoutAction::Drop
        };
        let timer = Timer::from_deadline(clock.to_instant(due));
        let token = handle
            .insert_source(timer, on_due)
            .map_err(|error| error.error)?;
        self.armed = Some(ArmedTimer { due, token });
        Ok(())
    }

    /// Takes the timer off: the event loop failed, and may have lost its event.
    pub(super) fn disarm(&mut self, handle: &EventLoopHandle) {
        if let Some(armed) = self.armed.take() {
            handle.remove(armed.token);
        }
    }

    /// It has fired, and is gone from the event loop.
    pub(super) fn on_fired(&mut self) {
        self.armed = None;
    }
}
