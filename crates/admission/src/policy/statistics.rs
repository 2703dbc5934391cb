//! Order statistics that several decisions use.

/// Returns the upper median, or `None` if there are no values.
pub(super) fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
