//! A straight line through measured points.

use serde::Serialize;

/// Fewest points that a line is drawn through.
const MIN_POINTS: usize = 4;

/// Least-squares line through points, and how far the points are from it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct LineFit {
    /// Rise of `y` for each unit of `x`.
    pub slope: f64,
    /// `y` at `x` = 0.
    pub intercept: f64,
    /// Largest distance of a point from the line, as a share of the largest `y`.
    pub residual: f64,
}

impl LineFit {
    /// Fits a line; `None` for fewer than four points or only one size.
    #[must_use]
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < MIN_POINTS {
            return None;
        }
        let count = u32::try_from(points.len()).ok().map(f64::from)?;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread = points
            .iter()
            .map(|point| (point.0 - mean_x).powi(2))
            .sum::<f64>();
        if spread <= 0.0 {
            return None;
        }
        let product = points
            .iter()
            .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
            .sum::<f64>();
        let slope = product / spread;
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

    /// The line's value at `x`.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
