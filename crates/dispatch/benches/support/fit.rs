//! A straight line by least squares, with what it leaves unexplained.

use std::fmt;

/// A point is on the line when it lies within this part of its own value.
const ON_THE_LINE: f64 = 0.15;

pub(crate) struct Line {
    intercept: f64,
    slope: f64,
    slope_error: f64,
    r_squared: f64,
    /// Measured less fitted value, as a part of the measured one, for each point in order.
    residuals: Vec<f64>,
}

impl Line {
    /// # Panics
    /// There are fewer than four points: too few for a slope with a spread.
    pub(crate) fn through(points: &[(f64, f64)]) -> Line {
        assert!(points.len() >= 4, "a slope needs four sizes at least");
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread_x: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        let spread_y: f64 = points.iter().map(|point| (point.1 - mean_y).powi(2)).sum();
        let together: f64 = points
            .iter()
            .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
            .sum();
        let slope = together / spread_x;
        let intercept = mean_y - slope * mean_x;
        let misses = points
            .iter()
            .map(|point| point.1 - intercept - slope * point.0);
        let unexplained: f64 = misses.clone().map(|miss| miss * miss).sum();
        Line {
            intercept,
            slope,
            slope_error: (unexplained / (count - 2.0) / spread_x).sqrt(),
            r_squared: 1.0 - unexplained / spread_y,
            residuals: misses
                .zip(points)
                .map(|(miss, point)| miss / point.1.abs().max(1e-12))
                .collect(),
        }
    }

    fn bends(&self) -> bool {
        self.residuals
            .iter()
            .any(|residual| residual.abs() > ON_THE_LINE)
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
        let name = if self.bends() {
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
            .map(|part| format!("{:+.0}%", part * 100.0))
            .collect();
        write!(out, "residuals {}", residuals.join(" "))
    }
}

pub(crate) fn median(of: &[f64]) -> f64 {
    let mut sorted = of.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}

/// Median and range, for a cell of a table.
pub(crate) fn spread(of: &[f64]) -> String {
    let least = of.iter().copied().fold(f64::INFINITY, f64::min);
    let most = of.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    format!("{:.2} ({least:.2}-{most:.2})", median(of))
}
