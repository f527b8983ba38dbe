//! The store role: kept turns and charges of programs on disk.

mod client;
mod copy;
mod detour;
mod files;
mod host;

pub use {
    client::{Reserved, StoreClient, Turns},
    detour::{Detour, Trial},
    host::StoreHost,
};
