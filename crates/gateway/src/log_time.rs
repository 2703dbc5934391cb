//! The time in front of each line of the log.

use std::fmt;

use time::OffsetDateTime;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;

use crate::clock::since_epoch;

/// The UTC time to the microsecond, as in `2026-12-02T22:52:14.740658Z`. The library's own panics where the clock cannot be
/// read.
#[derive(Clone, Copy, Debug, Default)]
pub struct UtcTime;

impl FormatTime for UtcTime {
    fn format_time(&self, line: &mut Writer<'_>) -> fmt::Result {
        let now = since_epoch();
        let nanos = i128::try_from(now.as_nanos()).unwrap_or(i128::MAX);
        let Ok(time) = OffsetDateTime::from_unix_timestamp_nanos(nanos) else {
            // Past the year 9999.
            return write!(line, "{}s", now.as_secs());
        };
        write!(
            line,
            "{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:06}Z",
            time.year(),
            u8::from(time.month()),
            time.day(),
            time.hour(),
            time.minute(),
            time.second(),
            time.microsecond()
        )
    }
}
