//! Long seeded runs that attack each of the ten promises.
//!
//! A trial drives the smallest set of real state machines that carries a
//! promise, with faults at any moment, and counts how often the promise was put
//! to the test and how often it broke.

mod calls;
mod promise;
mod report;
mod run;
mod trial;

pub use {
    calls::CallWorld,
    promise::Promise,
    report::{FaultReport, PromiseReport},
    run::{run_faults, run_promise},
    trial::{Decisions, Score, Trial, run_trial},
};
