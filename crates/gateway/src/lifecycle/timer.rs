//! The only timer of the event loop, set to the earliest due time. Everything that is due by then
//! is handled in the same turn.

use admission::interface::Timestamp;
use calloop::RegistrationToken;
use calloop::timer::{TimeoutAction, Timer};

use crate::clock::Clock;
use crate::socket::{EventLoopHandle, LoopEvents};

struct ArmedTimer {
    due: Timestamp,
    token: RegistrationToken,
}

/// Wakes the event loop at the time it was last armed for.
#[derive(Default)]
pub(super) struct WakeTimer {
    armed: Option<ArmedTimer>,
}

impl WakeTimer {
    /// Arms the timer for `due`. Does nothing when it is armed for that time already.
    ///
    /// # Errors
    /// The event loop cannot register the timer.
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

    /// Removes the timer, because the event loop failed and may have lost the timer's event.
    pub(super) fn disarm(&mut self, handle: &EventLoopHandle) {
        if let Some(armed) = self.armed.take() {
            handle.remove(armed.token);
        }
    }

    /// Handles the timer event. The event loop has already removed the timer.
    pub(super) fn on_fired(&mut self) {
        self.armed = None;
    }
}
