//! Runs the trials of every promise.

use crate::faults::{CallWorld, Decisions, FaultReport, Promise, PromiseReport, run_trial};

/// Runs the trial of one promise.
#[must_use]
pub fn run_promise(promise: Promise, seed: u64, steps: u64, decisions: Decisions) -> PromiseReport {
    run_trial::<CallWorld>(promise, seed, steps, decisions)
}

/// Runs the trials of `promises`; the same arguments give the same report.
#[must_use]
pub fn run_faults(
    promises: &[Promise],
    seed: u64,
    steps: u64,
    decisions: Decisions,
) -> FaultReport {
    let run = |promise: &Promise| run_promise(*promise, seed, steps, decisions);
    FaultReport {
        seed,
        promises: promises.iter().map(run).collect(),
    }
}
