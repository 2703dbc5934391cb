//! The system clocks, read as [`Timestamp`]s.
//!
//! The standard library panics when a clock cannot be read or returns an invalid time. Here the
//! last valid reading is used in that case: time stands still for as long, and the process
//! continues.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use admission::interface::Timestamp;
use nix::libc::{self, clockid_t, timespec};

const NANOS_PER_SECOND: u32 = 1_000_000_000;

/// How often a clock is read before its last valid reading is used instead.
const MAX_READ_ATTEMPTS: usize = 3;

/// Latest Unix time accepted at a start, in the year 2061. The range of [`Timestamp`] ends a few
/// years after it, and time would stand still from then on.
const MAX_UNIX_TIME_AT_START: Duration = Duration::from_secs(2_900_000_000);

/// A system clock with its last valid reading.
struct SystemClock {
    id: clockid_t,
    /// The last valid reading in nanoseconds, or 0 before the first one.
    last_valid_nanos: AtomicU64,
}

static WALL: SystemClock = SystemClock::new(libc::CLOCK_REALTIME);
static MONOTONIC: SystemClock = SystemClock::new(libc::CLOCK_MONOTONIC);
static BOOTTIME: SystemClock = SystemClock::new(libc::CLOCK_BOOTTIME);

impl SystemClock {
    const fn new(id: clockid_t) -> Self {
        SystemClock {
            id,
            last_valid_nanos: AtomicU64::new(0),
        }
    }

    /// Returns the time since the clock's epoch. A time before the epoch is returned as zero.
    fn now(&self) -> Duration {
        let reading = (0..MAX_READ_ATTEMPTS).find_map(|_| read(self.id));
        let Some(reading) = reading else {
            return Duration::from_nanos(self.last_valid_nanos.load(Ordering::Relaxed));
        };
        let nanos = u64::try_from(reading.as_nanos()).unwrap_or(u64::MAX);
        self.last_valid_nanos.store(nanos, Ordering::Relaxed);
        reading
    }
}

/// Reads a clock once. Returns `None` when the call fails or returns an invalid time.
fn read(id: clockid_t) -> Option<Duration> {
    let mut time = timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: `time` is a valid place for the result.
    let result = unsafe { libc::clock_gettime(id, &raw mut time) };
    let nanos = u32::try_from(time.tv_nsec).ok()?;
    if result != 0 || nanos >= NANOS_PER_SECOND {
        return None;
    }
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Some(Duration::new(seconds, nanos))
}

/// The Unix time read once at the start and advanced by the monotonic clock. Later steps of the
/// system clock must not end attempts early or keep them open.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// The Unix time at the start.
    unix_time_at_start: Duration,
    /// The monotonic clock at the start.
    monotonic_at_start: Duration,
}

impl Clock {
    /// Starts a clock at the current Unix time.
    #[must_use]
    pub fn start() -> Self {
        Clock {
            unix_time_at_start: WALL.now().min(MAX_UNIX_TIME_AT_START),
            monotonic_at_start: MONOTONIC.now(),
        }
    }

    /// Returns the current time. It never steps, so differences of it are durations.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        let elapsed = MONOTONIC.now().saturating_sub(self.monotonic_at_start);
        Timestamp::from_secs((self.unix_time_at_start + elapsed).as_secs_f64())
    }

    /// See [`boottime_now`].
    #[must_use]
    pub fn boottime_now(&self) -> Timestamp {
        boottime_now()
    }

    /// Converts a time to the standard library's clock. A past time becomes the current one.
    #[must_use]
    pub fn to_instant(&self, timestamp: Timestamp) -> Instant {
        let remaining_s = (timestamp - self.now()).secs().max(0.0);
        Instant::now() + Duration::from_secs_f64(remaining_s)
    }
}

/// Returns the time on the monotonic clock, which has an arbitrary epoch and never steps.
#[must_use]
pub fn monotonic_now() -> Duration {
    MONOTONIC.now()
}

/// Returns the current Unix time, to compare with timestamps from other hosts. It may step, so it
/// must not be used to measure durations.
#[must_use]
pub fn unix_now() -> Timestamp {
    Timestamp::from_secs(WALL.now().as_secs_f64())
}

/// Returns the time since the Unix epoch, with nanosecond resolution.
#[must_use]
pub fn since_epoch() -> Duration {
    WALL.now()
}

/// Returns the time since the system was booted. This clock is never set and includes time in
/// suspend, so leases expire by it.
#[must_use]
pub fn boottime_now() -> Timestamp {
    Timestamp::from_secs(BOOTTIME.now().as_secs_f64())
}
