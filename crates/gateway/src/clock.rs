//! The Unix clock as moments. Read once, then run on by the monotonic clock: a step of the system's clock
//! would end attempts early or never.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use admission::interface::Timestamp;

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix: Duration,
    at: Instant,
}

impl Clock {
    pub fn start() -> Self {
        Clock {
            unix: since_epoch(),
            at: Instant::now(),
        }
    }

    pub fn now(&self) -> Timestamp {
        Timestamp::from_secs((self.unix + self.at.elapsed()).as_secs_f64())
    }

    /// A clock of this machine that nobody sets, and that runs on while the machine sleeps: what was leased ends by it.
    pub fn boottime_now(&self) -> Timestamp {
        boottime_now()
    }

    /// The same point on the monotonic clock; the past counts as now.
    pub fn to_instant(&self, moment: Timestamp) -> Instant {
        let left = (moment - self.now()).secs().max(0.0);
        Instant::now() + Duration::from_secs_f64(left)
    }
}

/// The Unix time as the machine tells it now, for what other machines dated: it may step, and is no measure of spans.
pub fn unix_now() -> Timestamp {
    Timestamp::from_secs(since_epoch().as_secs_f64())
}

fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// See [`Clock::boottime_now`].
pub fn boottime_now() -> Timestamp {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Timestamp::from_secs(now.tv_sec as f64 + now.tv_nsec as f64 / 1e9)
}
