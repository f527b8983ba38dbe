//! The store role: kept turns and charges of programs on disk.

mod client;
mod copy;
mod files;
mod host;

pub use {
    client::{Reserved, StoreClient, Turns},
    host::StoreHost,
};
