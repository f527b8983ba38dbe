//! What a run of trials found.

use {crate::faults::Promise, serde::Serialize, std::fmt};

/// Result of the trials of one promise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PromiseReport {
    /// The promise.
    pub promise: Promise,
    /// Steps taken.
    pub steps: u64,
    /// Faults brought about.
    pub faults: u64,
    /// How often the promise was put to the test.
    pub tested: u64,
    /// How often it broke.
    pub broken: u64,
    /// What was seen the first time that it broke.
    pub first: Option<Box<str>>,
}

/// Result of a run over all promises.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct FaultReport {
    /// Seed of the run.
    pub seed: u64,
    /// One line for each promise.
    pub promises: Vec<PromiseReport>,
}

impl FaultReport {
    /// Whether no promise broke.
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
