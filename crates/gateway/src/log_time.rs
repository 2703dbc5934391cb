//! The timestamp at the start of each log line.

use std::fmt;

use time::OffsetDateTime;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;

use crate::clock::since_epoch;

/// Formats the UTC time in microseconds, as in `2026-12-02T22:52:14.740658Z`. The formatter of the
/// logging library is not used, because it panics when the clock cannot be read.
#[derive(Clone, Copy, Debug, Default)]
pub struct UtcTime;

impl FormatTime for UtcTime {
    fn format_time(&self, line: &mut Writer<'_>) -> fmt::Result {
        let now = since_epoch();
        let nanos = i128::try_from(now.as_nanos()).unwrap_or(i128::MAX);
        let Ok(time) = OffsetDateTime::from_unix_timestamp_nanos(nanos) else {
            // After the year 9999.
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
