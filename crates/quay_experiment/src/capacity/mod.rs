//! Capacity planning: measures how cost grows with size, and extrapolates to the
//! target size.
//!
//! Byte counts are exact and the same in every run; times vary between runs.

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

/// Measurements and estimates of one run.
#[derive(Debug, Clone, Serialize)]
pub struct CapacityReport {
    /// Size of the system that the estimates are for.
    pub target: Target,
    /// Measured cost by size, one for each quantity.
    pub slopes: Vec<Slope>,
    /// Estimates at the target size.
    pub rows: Vec<Row>,
}

/// Measures all slopes and computes the estimates; `scratch` is an empty folder
/// for log files.
///
/// # Errors
///
/// Returns an error if log files cannot be written to or read from the scratch
/// folder.
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
