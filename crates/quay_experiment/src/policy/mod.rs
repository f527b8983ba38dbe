//! Compares scheduling policies over the engine model.
//!
//! Not a model of any platform: ten engines, three entries that share nothing
//! but late reports, and programs of the shape that the two deployments have.

mod calls;
mod faults;
mod plot;
mod policies;
mod program;
mod report;
mod scenario;
mod stats;
mod upstream;
mod workload;
mod world;

pub use {
    plot::plot,
    policies::{POLICY_NAMES, run_policy},
    report::{Report, Row, run_policies},
    scenario::{Deployment, Scenario},
    stats::Stats,
};
