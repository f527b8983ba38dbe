//! Compares scheduling policies in a discrete-event simulation of the engines.
//!
//! The simulation does not reproduce a specific platform. By default, it has ten
//! engines and three entries that only share delayed load reports. The workloads
//! have the shape of the programs of the two deployments.

mod calls;
mod faults;
mod plot;
mod policies;
mod program;
mod report;
mod scenario;
mod simulation;
mod stats;
mod upstream;
mod workload;

pub use {
    plot::plot,
    policies::{POLICY_NAMES, run_policy},
    report::{Report, Row, run_policies},
    scenario::{Deployment, Scenario},
    stats::Stats,
};
