//! Seeded fault-injection runs that test each of the ten promises.
//!
//! A trial drives the smallest set of real state machines that implements a
//! promise, injects faults at random steps, and counts how often the promise
//! was checked and how often it was violated.

mod calls;
mod configuration;
mod history;
mod leaving;
mod promise;
mod random;
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
