//! Long seeded runs that attack each of the ten promises.
//!
//! A trial drives the smallest set of real state machines that carries a
//! promise, with faults at any moment, and counts how often the promise was put
//! to the test and how often it broke.

mod promise;
mod report;
mod trial;

pub use {
    promise::Promise,
    report::{FaultReport, PromiseReport},
    trial::{Decisions, Score, Trial, run_trial},
};
