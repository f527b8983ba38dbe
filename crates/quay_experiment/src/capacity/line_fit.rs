//! Least-squares fit of a straight line.

use serde::Serialize;

/// Minimum number of points for a fit.
const MIN_POINTS: usize = 4;

/// Least-squares line and its maximum relative residual.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct LineFit {
    /// Increase of `y` per unit of `x`.
    pub slope: f64,
    /// Value of `y` at `x` = 0.
    pub intercept: f64,
    /// Maximum absolute residual of a point, as a share of the maximum absolute
    /// `y`.
    pub residual: f64,
}

impl LineFit {
    /// Fits a line to points `(x, y)`; returns `None` if there are fewer than four
    /// points or all have the same `x`.
    #[must_use]
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < MIN_POINTS {
            return None;
        }
        let count = u32::try_from(points.len()).ok().map(f64::from)?;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let sum_squares = points
            .iter()
            .map(|point| (point.0 - mean_x).powi(2))
            .sum::<f64>();
        if sum_squares <= 0.0 {
            return None;
        }
        let sum_products = points
            .iter()
            .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
            .sum::<f64>();
        let slope = sum_products / sum_squares;
        let intercept = mean_y - slope * mean_x;
        let line = Self {
            slope,
            intercept,
            residual: 0.0,
        };
        let worst = points
            .iter()
            .map(|point| (point.1 - line.at(point.0)).abs())
            .fold(0.0, f64::max);
        let largest = points
            .iter()
            .map(|point| point.1.abs())
            .fold(f64::MIN_POSITIVE, f64::max);
        Some(Self {
            residual: worst / largest,
            ..line
        })
    }

    /// Returns the value of the line at `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
