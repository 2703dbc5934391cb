//! The clocks of this machine, read as [`Timestamp`]s.
//!
//! The standard library panics where a clock cannot be read or tells no time. Here such a reading counts as the last one
//! that was good: time stands still for that long, and nothing ends.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use admission::interface::Timestamp;
use nix::libc::{self, clockid_t, timespec};

const NANOS_PER_SECOND: u32 = 1_000_000_000;

/// How often a clock is asked that tells nothing.
const MAX_READINGS: usize = 3;

/// No later Unix time, of the year 2061, is believed at a start: [`Timestamp`]s end a few years after it, and time would stand still.
const MAX_STARTED_UNIX: Duration = Duration::from_secs(2_900_000_000);

/// A clock of the machine, and its last good reading.
struct MachineClock {
    id: clockid_t,
    /// In nanoseconds.
    last_reading: AtomicU64,
}

static WALL: MachineClock = MachineClock::new(libc::CLOCK_REALTIME);
static MONOTONIC: MachineClock = MachineClock::new(libc::CLOCK_MONOTONIC);
static BOOTTIME: MachineClock = MachineClock::new(libc::CLOCK_BOOTTIME);

impl MachineClock {
    const fn new(id: clockid_t) -> Self {
        MachineClock {
            id,
            last_reading: AtomicU64::new(0),
        }
    }

    /// The time since the clock's zero; a time before it counts as zero.
    fn now(&self) -> Duration {
        let reading = (0..MAX_READINGS).find_map(|_| read(self.id));
        let Some(reading) = reading else {
            return Duration::from_nanos(self.last_reading.load(Ordering::Relaxed));
        };
        let nanos = u64::try_from(reading.as_nanos()).unwrap_or(u64::MAX);
        self.last_reading.store(nanos, Ordering::Relaxed);
        reading
    }
}

/// One reading of a clock; none: it failed, or is no time.
fn read(id: clockid_t) -> Option<Duration> {
    let mut time = timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: there is room for the time.
    let result = unsafe { libc::clock_gettime(id, &raw mut time) };
    let nanos = u32::try_from(time.tv_nsec).ok()?;
    if result != 0 || nanos >= NANOS_PER_SECOND {
        return None;
    }
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Some(Duration::new(seconds, nanos))
}

/// The Unix time, read once and then run on by the monotonic clock: a step of the system's clock would end attempts early
/// or never.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// The Unix time at the start.
    started_unix: Duration,
    /// The same point on the monotonic clock.
    started: Duration,
}

impl Clock {
    /// A clock that begins with the Unix time as the machine tells it now.
    #[must_use]
    pub fn start() -> Self {
        Clock {
            started_unix: WALL.now().min(MAX_STARTED_UNIX),
            started: MONOTONIC.now(),
        }
    }

    /// The time now. It never steps, so that it measures lengths of time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        let elapsed = MONOTONIC.now().saturating_sub(self.started);
        Timestamp::from_secs((self.started_unix + elapsed).as_secs_f64())
    }

    /// See [`boottime_now`].
    #[must_use]
    pub fn boottime_now(&self) -> Timestamp {
        boottime_now()
    }

    /// The same point in time on the standard library's clock; the past counts as now.
    #[must_use]
    pub fn to_instant(&self, timestamp: Timestamp) -> Instant {
        let remaining_s = (timestamp - self.now()).secs().max(0.0);
        Instant::now() + Duration::from_secs_f64(remaining_s)
    }
}

/// The time on the monotonic clock, which starts anywhere and never steps.
#[must_use]
pub fn monotonic_now() -> Duration {
    MONOTONIC.now()
}

/// The Unix time as the machine tells it now, to compare with what other machines dated. It may step, so it does not measure
/// lengths of time.
#[must_use]
pub fn unix_now() -> Timestamp {
    Timestamp::from_secs(WALL.now().as_secs_f64())
}

/// The time since the Unix epoch as the machine tells it now, to the nanosecond.
#[must_use]
pub fn since_epoch() -> Duration {
    WALL.now()
}

/// The time since the machine started. Nobody sets this clock, and it runs on while the machine sleeps: leases end by it.
#[must_use]
pub fn boottime_now() -> Timestamp {
    Timestamp::from_secs(BOOTTIME.now().as_secs_f64())
}
