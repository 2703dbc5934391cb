//! Checks that the blocks share: numbers within bounds, durations in milliseconds.

use std::ops::RangeInclusive;

use admission::interface::TimeDelta;

use crate::error::FieldError;

const MILLIS_PER_SECOND: f64 = 1e3;

/// Where in the file a block stands: its name and labels.
pub(crate) struct BlockPath<'a>(Vec<&'a str>);

impl<'a> BlockPath<'a> {
    pub(crate) fn new(steps: &[&'a str]) -> Self {
        BlockPath(steps.to_vec())
    }

    pub(crate) fn error(&self, field: &str, why: impl Into<String>) -> FieldError {
        let path: Vec<&str> = self.0.iter().copied().chain([field]).collect();
        FieldError::new(&path, why)
    }

    /// A number, or its default, within bounds.
    pub(crate) fn number(
        &self,
        field: &str,
        value: Option<f64>,
        default: f64,
        bounds: RangeInclusive<f64>,
    ) -> Result<f64, FieldError> {
        let value = value.unwrap_or(default);
        if bounds.contains(&value) {
            return Ok(value);
        }
        let (least, most) = bounds.into_inner();
        Err(self.error(field, format!("{value} is not between {least} and {most}")))
    }

    /// A whole number, or its default, within bounds; a fraction is cut off.
    pub(crate) fn count(
        &self,
        field: &str,
        value: Option<f64>,
        default: usize,
        bounds: RangeInclusive<f64>,
    ) -> Result<usize, FieldError> {
        Ok(self.number(field, value, default as f64, bounds)? as usize)
    }

    /// A time in milliseconds, or its default, within bounds in milliseconds.
    pub(crate) fn millis(
        &self,
        field: &str,
        value: Option<f64>,
        default: TimeDelta,
        bounds: RangeInclusive<f64>,
    ) -> Result<TimeDelta, FieldError> {
        let millis = self.number(field, value, default.secs() * MILLIS_PER_SECOND, bounds)?;
        Ok(TimeDelta::from_secs(millis / MILLIS_PER_SECOND))
    }
}

/// The default of a block's `enabled`: a block that is written is on.
pub(crate) fn enabled_by_default() -> bool {
    true
}
