//! A least-squares line fit with its residuals.

use std::fmt;

/// The largest residual of a point on the line, as a fraction of the point's value.
const MAX_RELATIVE_RESIDUAL: f64 = 0.15;

/// A fitted line.
pub(crate) struct Line {
    intercept: f64,
    slope: f64,
    /// The standard error of the slope.
    slope_error: f64,
    r_squared: f64,
    /// For each point in order, the measured value minus the fitted value, as a fraction of the
    /// measured value.
    residuals: Vec<f64>,
}

impl Line {
    /// Fits a line through the points.
    ///
    /// # Panics
    ///
    /// Panics if there are fewer than four points, which is too few for the standard error of the
    /// slope.
    pub(crate) fn through(points: &[(f64, f64)]) -> Line {
        assert!(points.len() >= 4, "a line fit needs at least four points");
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let sum_squares_x: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        let sum_squares_y: f64 = points.iter().map(|point| (point.1 - mean_y).powi(2)).sum();
        let sum_products: f64 = points
            .iter()
            .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
            .sum();
        let slope = sum_products / sum_squares_x;
        let intercept = mean_y - slope * mean_x;
        let residuals = points
            .iter()
            .map(|point| point.1 - intercept - slope * point.0);
        let residual_sum_squares: f64 = residuals.clone().map(|residual| residual * residual).sum();
        Line {
            intercept,
            slope,
            slope_error: (residual_sum_squares / (count - 2.0) / sum_squares_x).sqrt(),
            r_squared: 1.0 - residual_sum_squares / sum_squares_y,
            residuals: residuals
                .zip(points)
                .map(|(residual, point)| residual / point.1.abs().max(1e-12))
                .collect(),
        }
    }

    /// Whether any point lies off the line.
    fn is_nonlinear(&self) -> bool {
        self.residuals
            .iter()
            .any(|residual| residual.abs() > MAX_RELATIVE_RESIDUAL)
    }
}

impl fmt::Display for Line {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let Line {
            intercept,
            slope,
            slope_error,
            r_squared,
            ..
        } = self;
        let name = if self.is_nonlinear() {
            "no line over all sizes; least squares"
        } else {
            "line"
        };
        write!(
            out,
            "{name}: {intercept:.4} + {slope:.6} x (slope +- {slope_error:.6}), R2 {r_squared:.5}, "
        )?;
        let residuals: Vec<String> = self
            .residuals
            .iter()
            .map(|fraction| format!("{:+.0}%", fraction * 100.0))
            .collect();
        write!(out, "residuals {}", residuals.join(" "))
    }
}

pub(crate) fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}

/// Formats the median and the range of the values for a table cell.
pub(crate) fn spread(values: &[f64]) -> String {
    let min = values.iter().copied().fold(f64::INFINITY, f64::min);
    let max = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    format!("{:.2} ({min:.2}-{max:.2})", median(values))
}
