//! The clocks of this machine, read as [`Timestamp`]s.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use admission::interface::Timestamp;
use rustix::time::{ClockId, clock_gettime};

const NANOS_PER_SECOND: f64 = 1e9;

/// The Unix time, read once and then run on by the monotonic clock: a step of the system's clock would end attempts early
/// or never.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// The Unix time at the start.
    started_unix: Duration,
    /// The same point on the monotonic clock.
    started: Instant,
}

impl Clock {
    /// A clock that begins with the Unix time as the machine tells it now.
    #[must_use]
    pub fn start() -> Self {
        Clock {
            started_unix: since_epoch(),
            started: Instant::now(),
        }
    }

    /// The time now. It never steps, so that it measures lengths of time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        Timestamp::from_secs((self.started_unix + self.started.elapsed()).as_secs_f64())
    }

    /// See [`boottime_now`].
    #[must_use]
    pub fn boottime_now(&self) -> Timestamp {
        boottime_now()
    }

    /// The same point in time on the monotonic clock; the past counts as now.
    #[must_use]
    pub fn to_instant(&self, timestamp: Timestamp) -> Instant {
        let remaining_s = (timestamp - self.now()).secs().max(0.0);
        Instant::now() + Duration::from_secs_f64(remaining_s)
    }
}

/// The Unix time as the machine tells it now, to compare with what other machines dated. It may step, so it does not measure
/// lengths of time.
#[must_use]
pub fn unix_now() -> Timestamp {
    Timestamp::from_secs(since_epoch().as_secs_f64())
}

fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// The time since the machine started. Nobody sets this clock, and it runs on while the machine sleeps: leases end by it.
#[must_use]
pub fn boottime_now() -> Timestamp {
    let now = clock_gettime(ClockId::Boottime);
    Timestamp::from_secs(now.tv_sec as f64 + now.tv_nsec as f64 / NANOS_PER_SECOND)
}
