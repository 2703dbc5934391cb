//! Least-squares fits of a value against the size of the cluster, with their residuals.

use serde::Serialize;

/// The largest relative residual at which points still count as a line.
const LINE_TOLERANCE: f64 = 0.10;

/// `value = intercept + slope * size`, fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    pub intercept: f64,
    pub slope: f64,
    /// The standard deviation of the residuals, in the unit of the value.
    pub spread: f64,
    /// The largest residual relative to the value of its point.
    pub worst_residual: f64,
}

/// `value = factor * size ^ exponent`, fitted by least squares of the logarithms.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Power {
    pub factor: f64,
    pub exponent: f64,
    /// The standard deviation of the residuals of the natural logarithms.
    pub spread: f64,
}

/// How a value grows over the measured sizes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Shape {
    Constant,
    Line,
    Quadratic,
    /// None of the other shapes fits.
    Bends,
}

impl Line {
    /// Fits points of size and value. `None` if there are fewer than three, or all have the same
    /// size.
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < 3 {
            return None;
        }
        let count = points.len() as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let variance: f64 = points
            .iter()
            .map(|(size, _)| (size - mean_size).powi(2))
            .sum();
        if variance == 0.0 {
            return None;
        }
        let covariance: f64 = points
            .iter()
            .map(|(size, value)| (size - mean_size) * (value - mean_value))
            .sum();
        let slope = covariance / variance;
        let intercept = mean_value - slope * mean_size;
        let residual = |(size, value): &(f64, f64)| value - (intercept + slope * size);
        let squares: f64 = points.iter().map(|point| residual(point).powi(2)).sum();
        let relative =
            |point: &(f64, f64)| (residual(point) / point.1.abs().max(f64::MIN_POSITIVE)).abs();
        Some(Line {
            intercept,
            slope,
            spread: (squares / (count - 2.0)).sqrt(),
            worst_residual: points.iter().map(relative).fold(0.0, f64::max),
        })
    }
}

impl Power {
    /// Fits points of size and value. `None` if fewer than three are positive, or all of these have
    /// the same size.
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        let positive = points
            .iter()
            .filter(|(size, value)| *size > 0.0 && *value > 0.0);
        let logarithms: Vec<(f64, f64)> = positive
            .map(|(size, value)| (size.ln(), value.ln()))
            .collect();
        let line = Line::of(&logarithms)?;
        Some(Power {
            factor: line.intercept.exp(),
            exponent: line.slope,
            spread: line.spread,
        })
    }

    /// The fitted value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.factor * size.powf(self.exponent)
    }

    /// The size at which the fitted curve reaches a value.
    pub fn size_for(&self, value: f64) -> f64 {
        (value / self.factor).powf(1.0 / self.exponent)
    }
}

impl Shape {
    /// Classifies points of size and value. `None` if they cannot be fitted.
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        let (line, power) = (Line::of(points)?, Power::of(points)?);
        let fits_power_law = power.spread <= LINE_TOLERANCE;
        Some(if power.exponent.abs() < 0.05 && fits_power_law {
            Shape::Constant
        } else if line.worst_residual <= LINE_TOLERANCE {
            Shape::Line
        } else if (1.8..=2.2).contains(&power.exponent) && fits_power_law {
            Shape::Quadratic
        } else {
            Shape::Bends
        })
    }
}
