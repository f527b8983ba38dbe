//! Results of a run of trials.

use {crate::faults::Promise, serde::Serialize, std::fmt};

/// Result of the trials for one promise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PromiseReport {
    /// The promise.
    pub promise: Promise,
    /// Number of steps taken.
    pub steps: u64,
    /// Number of faults injected.
    pub faults: u64,
    /// Number of times that the promise was checked.
    pub tested: u64,
    /// Number of checks that failed.
    pub broken: u64,
    /// Description of the first violation.
    pub first: Option<Box<str>>,
}

/// Result of a run over all promises.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FaultReport {
    /// Seed of the run.
    pub seed: u64,
    /// One entry per promise.
    pub promises: Vec<PromiseReport>,
}

impl FaultReport {
    /// Returns whether no promise was violated.
    #[must_use]
    pub fn held(&self) -> bool {
        self.promises.iter().all(|line| line.broken == 0)
    }
}

impl fmt::Display for FaultReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<14} {:>10} {:>10} {:>10} {:>7}",
            "promise", "steps", "faults", "tested", "broken"
        )?;
        for line in &self.promises {
            let PromiseReport {
                promise,
                steps,
                faults,
                tested,
                broken,
                first,
            } = line;
            writeln!(
                f,
                "{:<14} {steps:>10} {faults:>10} {tested:>10} {broken:>7}",
                promise.name()
            )?;
            if let Some(first) = first {
                writeln!(f, "  first: {first}")?;
            }
        }
        Ok(())
    }
}
