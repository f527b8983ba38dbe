//! One measured slope with its points.

use {
    crate::capacity::LineFit,
    serde::Serialize,
    std::{fmt, time::Instant},
};

/// Times that a measured step is taken; the least time counts, since other work
/// on the machine only ever adds.
const ROUNDS: u32 = 3;

/// One measured point.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Sample {
    /// Size that was tried.
    pub size: f64,
    /// What was measured at that size.
    pub value: f64,
}

/// A measured slope.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Slope {
    /// Role and quantity, such as `ledger.apply`.
    pub name: Box<str>,
    /// Unit of the sizes.
    pub per: Box<str>,
    /// Unit of the values.
    pub unit: Box<str>,
    /// The points.
    pub samples: Vec<Sample>,
    /// Line through the points; `None` for fewer than four.
    pub fit: Option<LineFit>,
}

impl Slope {
    /// Measures `value` at each size.
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

    /// The fitted value at `size`.
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

/// Least time of a few rounds of `step`, in microseconds, for each of the
/// `count` things that one round does.
pub fn least_us(count: u32, mut step: impl FnMut()) -> f64 {
    let rounds = (0..ROUNDS).map(|_| {
        let started = Instant::now();
        step();
        started.elapsed().as_secs_f64() * 1e6 / f64::from(count)
    });
    rounds.fold(f64::INFINITY, f64::min)
}
