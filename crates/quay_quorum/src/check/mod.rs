//! Checks of the replicas: seeded faults and a bounded exploration.
//!
//! A [`World`] holds real [`Replica`](crate::Replica)s over a fake of messages
//! and disks; a [`Judge`] sees every leader, commit and read, and names the
//! first rule that is broken. The same seed gives the same run.
//!
//! ```
//! use quay_quorum::check::{World, WorldSettings};
//!
//! let mut world = World::new(WorldSettings::default(), 1);
//! let report = world.run(2_000).expect("no rule is broken");
//! assert!(report.commits > 0);
//! ```

mod explore;
mod faults;
mod host;
mod judge;
mod world;

pub use {
    explore::{Explored, explore},
    host::Host,
    judge::{Judge, Violation},
    world::{Report, World, WorldSettings},
};
