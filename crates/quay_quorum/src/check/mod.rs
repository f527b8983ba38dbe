//! Safety checks of the replicas: random runs with fault injection and a
//! bounded exploration of all event orders.
//!
//! A [`Simulation`] runs real [`Replica`](crate::Replica)s over a simulated
//! network and simulated disks. A [`SafetyChecker`] observes every election,
//! commit and read, and reports the first [`Violation`]. The same seed gives
//! the same run.
//!
//! ```
//! use quay_quorum::check::{Simulation, SimulationSettings};
//!
//! let mut simulation = Simulation::new(SimulationSettings::default(), 1);
//! let report = simulation.run(2_000).expect("no safety violation");
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
