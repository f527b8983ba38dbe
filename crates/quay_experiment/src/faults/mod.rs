//! Long seeded runs that attack each of the ten promises.
//!
//! A trial drives the smallest set of real state machines that carries a
//! promise, with faults at any moment, and counts how often the promise was put
//! to the test and how often it broke.

mod calls;
mod chance;
mod configuration;
mod history;
mod leaving;
mod promise;
mod release;
mod report;
mod run;
mod shutdown;
mod trial;

pub use {
    calls::CallWorld,
    configuration::ConfigurationWorld,
    history::HistoryWorld,
    leaving::LeavingWorld,
    promise::Promise,
    release::ReleaseWorld,
    report::{FaultReport, PromiseReport},
    run::{run_faults, run_promise},
    shutdown::ShutdownWorld,
    trial::{Decisions, Score, Trial, run_trial},
};
