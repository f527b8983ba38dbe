//! Short runs of the trials, and checks that each trial detects a violated
//! promise.

use quay_experiment::faults::{Decisions, Promise, run_promise};

const SEED: u64 = 7;
const STEPS: u64 = 60_000;

/// Checks that the promise holds with the real decisions and that the trial
/// detects a violation with a mutated one.
fn check_promise(promise: Promise) {
    let real = run_promise(promise, SEED, STEPS, Decisions::Real);
    assert!(real.tested > 100, "{real:?}");
    assert!(real.faults > 100, "{real:?}");
    assert_eq!(real.broken, 0, "{real:?}");
    let mutated = run_promise(promise, SEED, STEPS, Decisions::Mutated);
    assert!(mutated.broken > 0, "{mutated:?}");
}

#[test]
fn calls_run_in_order() {
    check_promise(Promise::Order);
}

#[test]
fn histories_are_kept_apart_and_whole() {
    check_promise(Promise::History);
}

#[test]
fn budgets_are_not_exceeded() {
    check_promise(Promise::Budget);
}

#[test]
fn memory_of_ended_programs_is_released() {
    check_promise(Promise::Release);
}

#[test]
fn callers_get_one_whole_answer() {
    check_promise(Promise::WholeAnswer);
}

#[test]
fn not_run_is_true() {
    check_promise(Promise::NotRun);
}

#[test]
fn calls_run_at_most_once() {
    check_promise(Promise::AtMostOnce);
}

#[test]
fn leaving_upstreams_get_no_new_work() {
    check_promise(Promise::Leaving);
}

#[test]
fn shutdown_cuts_off_no_call() {
    check_promise(Promise::Shutdown);
}

#[test]
fn configuration_spreads_and_never_reverts() {
    check_promise(Promise::Configuration);
}

#[test]
fn the_same_seed_gives_the_same_report() {
    for promise in Promise::ALL {
        let run = || run_promise(promise, SEED, 4_000, Decisions::Real);
        assert_eq!(run(), run());
    }
}
