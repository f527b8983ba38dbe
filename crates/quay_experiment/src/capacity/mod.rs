//! Measured slopes, and what they come to at the size to design for.
//!
//! Byte counts are exact and the same on every run; times are measured and are
//! not.

mod configuration;
mod estimate;
mod ledger;
mod line_fit;
mod log;
mod members;
mod policy;
mod slope;
mod target;

pub use {
    estimate::{Row, estimate},
    line_fit::LineFit,
    slope::{Sample, Slope},
    target::Target,
};

use {
    serde::Serialize,
    std::{io, path::Path},
};

/// Everything that one run measured and worked out.
#[derive(Debug, Clone, Serialize)]
pub struct CapacityReport {
    /// The size that the figures are for.
    pub target: Target,
    /// Measured slopes.
    pub slopes: Vec<Slope>,
    /// Figures at the target.
    pub rows: Vec<Row>,
}

/// Measures every slope; `scratch` is an empty folder for the log's files.
///
/// # Errors
///
/// Fails if the scratch folder can't be written.
pub fn run_capacity(scratch: &Path) -> io::Result<CapacityReport> {
    let target = Target::default();
    let mut slopes = ledger::slopes();
    slopes.extend(members::slopes());
    slopes.extend(configuration::slopes());
    slopes.extend(policy::slopes());
    slopes.extend(log::slopes(scratch)?);
    let rows = estimate(&target, &slopes);
    Ok(CapacityReport {
        target,
        slopes,
        rows,
    })
}
