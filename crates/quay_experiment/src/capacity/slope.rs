//! One measured slope with its points.

use {crate::capacity::LineFit, serde::Serialize};

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
        let samples: Vec<_> = sizes
            .iter()
            .map(|size| Sample {
                size: f64::from(*size),
                value: value(*size),
            })
            .collect();
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
}
