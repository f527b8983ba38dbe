//! Entry points that run the trials.

use crate::faults::{
    CallWorld, ConfigurationWorld, Decisions, FaultReport, HistoryWorld, LeavingWorld, Promise,
    PromiseReport, ReleaseWorld, ShutdownWorld, run_trial,
};

/// Runs the trial for one promise.
#[must_use]
pub fn run_promise(promise: Promise, seed: u64, steps: u64, decisions: Decisions) -> PromiseReport {
    match promise {
        Promise::History => run_trial::<HistoryWorld>(promise, seed, steps, decisions),
        Promise::Release => run_trial::<ReleaseWorld>(promise, seed, steps, decisions),
        Promise::Leaving => run_trial::<LeavingWorld>(promise, seed, steps, decisions),
        Promise::Shutdown => run_trial::<ShutdownWorld>(promise, seed, steps, decisions),
        Promise::Configuration => run_trial::<ConfigurationWorld>(promise, seed, steps, decisions),
        Promise::Order
        | Promise::Budget
        | Promise::WholeAnswer
        | Promise::NotRun
        | Promise::AtMostOnce => run_trial::<CallWorld>(promise, seed, steps, decisions),
    }
}

/// Runs the trials for `promises`; the same arguments give the same report.
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
