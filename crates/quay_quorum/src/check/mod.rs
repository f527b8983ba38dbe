//! Checks of the replicas: seeded faults and a bounded exploration.
//!
//! A [`Simulation`] holds real [`Replica`](crate::Replica)s over a fake of messages
//! and disks; a [`SafetyChecker`] sees every leader, commit and read, and names the
//! first rule that is broken. The same seed gives the same run.
//!
//! ```
//! use quay_quorum::check::{Simulation, SimulationSettings};
//!
//! let mut simulation = Simulation::new(SimulationSettings::default(), 1);
//! let report = simulation.run(2_000).expect("no rule is broken");
//! assert!(report.commits > 0);
//! ```

mod explore;
mod faults;
mod host;
mod safety_checker;
mod simulation;

pub use {
    explore::{Exploration, explore},
    host::Host,
    safety_checker::{SafetyChecker, Violation},
    simulation::{Report, Simulation, SimulationSettings},
};
