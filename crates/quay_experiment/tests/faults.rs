//! Short runs of the trials, and proof that each sees a broken promise.

use quay_experiment::faults::{CallWorld, Decisions, Promise, PromiseReport, Trial, run_trial};

const SEED: u64 = 7;
const STEPS: u64 = 60_000;

fn run<T: Trial>(promise: Promise, decisions: Decisions) -> PromiseReport {
    run_trial::<T>(promise, SEED, STEPS, decisions)
}

/// The promise holds under the real decisions and is seen to break under a
/// mutated one.
fn holds<T: Trial>(promise: Promise) {
    let real = run::<T>(promise, Decisions::Real);
    assert!(real.tested > 100, "{real:?}");
    assert!(real.faults > 100, "{real:?}");
    assert_eq!(real.broken, 0, "{real:?}");
    let mutated = run::<T>(promise, Decisions::Mutated);
    assert!(mutated.broken > 0, "{mutated:?}");
}

#[test]
fn calls_run_in_order() {
    holds::<CallWorld>(Promise::Order);
}

#[test]
fn budgets_are_not_exceeded() {
    holds::<CallWorld>(Promise::Budget);
}

#[test]
fn callers_get_one_whole_answer() {
    holds::<CallWorld>(Promise::WholeAnswer);
}

#[test]
fn not_run_is_true() {
    holds::<CallWorld>(Promise::NotRun);
}

#[test]
fn calls_run_at_most_once() {
    holds::<CallWorld>(Promise::AtMostOnce);
}

#[test]
fn the_same_seed_gives_the_same_report() {
    let first = run::<CallWorld>(Promise::AtMostOnce, Decisions::Real);
    assert_eq!(
        first,
        run::<CallWorld>(Promise::AtMostOnce, Decisions::Real)
    );
}
