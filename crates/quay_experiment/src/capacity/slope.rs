//! Measurements of a quantity at several sizes, with a fitted line.

use {
    crate::capacity::LineFit,
    serde::Serialize,
    std::{fmt, time::Instant},
};

/// Number of times that a step is timed. The minimum is used, because other load
/// on the machine can only increase the time.
const ROUNDS: u32 = 3;

/// Measurement at one size.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Sample {
    /// Size of the input.
    pub size: f64,
    /// Measured value.
    pub value: f64,
}

/// A quantity measured at several sizes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Slope {
    /// Component and quantity, such as `ledger.call_cpu`.
    pub name: Box<str>,
    /// Unit of the size.
    pub per: Box<str>,
    /// Unit of the value.
    pub unit: Box<str>,
    /// Measurements in order of size.
    pub samples: Vec<Sample>,
    /// Line fitted to the measurements; `None` if there are fewer than four.
    pub fit: Option<LineFit>,
}

impl Slope {
    /// Calls `value` for each size and fits a line to the results.
    pub fn measure(
        name: &str,
        per: &str,
        unit: &str,
        sizes: &[u32],
        mut value: impl FnMut(u32) -> f64,
    ) -> Self {
        let sample = |size: &u32| Sample {
            size: f64::from(*size),
            value: value(*size),
        };
        let samples: Vec<_> = sizes.iter().map(sample).collect();
        let points: Vec<_> = samples
            .iter()
            .map(|sample| (sample.size, sample.value))
            .collect();
        let fit = LineFit::of(&points);
        Self {
            name: name.into(),
            per: per.into(),
            unit: unit.into(),
            samples,
            fit,
        }
    }

    /// Returns the fitted value at `size`; NaN if there is no fit.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        self.fit.map_or(f64::NAN, |fit| fit.at(size))
    }
}

impl fmt::Display for Slope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            name, per, unit, ..
        } = self;
        write!(f, "{name:<28} {unit:>6} per {per:<12}")?;
        for sample in &self.samples {
            write!(f, " {}:{:.3}", sample.size, sample.value)?;
        }
        match &self.fit {
            Some(fit) => write!(
                f,
                "  = {:.4} + {:.6} n, residual {:.1}%",
                fit.intercept,
                fit.slope,
                fit.residual * 100.0
            ),
            None => Ok(()),
        }
    }
}

/// Returns the minimum time of several runs of `step` in microseconds, divided by
/// the `count` operations that one run performs.
pub fn min_time_us(count: u32, mut step: impl FnMut()) -> f64 {
    let rounds = (0..ROUNDS).map(|_| {
        let started = Instant::now();
        step();
        started.elapsed().as_secs_f64() * 1e6 / f64::from(count)
    });
    rounds.fold(f64::INFINITY, f64::min)
}
