//! Simulation of calls between callers, entries, a ledger and sidecars.
//!
//! The ledger and the permit registries are the real ones. Entries and callers
//! are small fakes that request, deliver, query and settle permits by the rules
//! of the daemon. Messages are lost and delayed, entries crash or freeze, and
//! sidecars restart.

mod callers;
mod entry;
mod faults;
mod ground_truth;
mod histories;
mod messages;
mod requests;
mod sidecar;
mod upstreams;
mod world;

pub use world::CallWorld;
