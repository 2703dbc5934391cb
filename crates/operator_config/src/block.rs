//! Validation that all blocks share: range checks of numbers, and durations in milliseconds.

use std::ops::RangeInclusive;

use admission::interface::TimeDelta;

use crate::error::FieldError;

const MILLIS_PER_SECOND: f64 = 1e3;

/// The path of a block in the file: its name, followed by its labels.
pub(crate) struct BlockPath<'a>(Vec<&'a str>);

impl<'a> BlockPath<'a> {
    pub(crate) fn new(steps: &[&'a str]) -> Self {
        BlockPath(steps.to_vec())
    }

    /// An error in a field of this block.
    pub(crate) fn error(&self, field: &str, why: impl Into<String>) -> FieldError {
        let path: Vec<&str> = self.0.iter().copied().chain([field]).collect();
        FieldError::new(&path, why)
    }

    /// The given number or else the default. Fails if the number is out of bounds.
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
        let (min, max) = bounds.into_inner();
        Err(self.error(field, format!("{value} is not between {min} and {max}")))
    }

    /// The given number, truncated to an integer, or else the default. Fails if the number is out
    /// of bounds.
    pub(crate) fn count(
        &self,
        field: &str,
        value: Option<f64>,
        default: usize,
        bounds: RangeInclusive<f64>,
    ) -> Result<usize, FieldError> {
        Ok(self.number(field, value, default as f64, bounds)? as usize)
    }

    /// The given duration in milliseconds or else the default. Fails if the duration is out of
    /// bounds, which are in milliseconds too.
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

/// The default of the switches that are on unless the file turns them off, such as a block's
/// `enabled`.
pub(crate) fn enabled_by_default() -> bool {
    true
}
