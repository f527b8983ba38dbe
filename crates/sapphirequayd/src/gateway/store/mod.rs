//! The store role: keeps turns and charges of programs on disk.

mod client;
mod copy;
mod exchange;
mod files;
mod host;
mod path;

pub use {
    client::{ReserveOutcome, StoreClient, TurnLookup},
    exchange::SlowMembers,
    host::StoreHost,
    path::{PathProbe, StorePath},
};
