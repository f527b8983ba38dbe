//! Calls between callers, entries, a ledger and sidecars.
//!
//! The ledger and the permit books are the real ones. Entries and callers are
//! small fakes that ask, deliver, inquire and settle by the daemon's rules;
//! messages are lost and delayed, entries die or stand still, sidecars restart.

mod callers;
mod entry;
mod faults;
mod histories;
mod requests;
mod sidecar;
mod truth;
mod upstreams;
mod wire;
mod world;

pub use world::CallWorld;
