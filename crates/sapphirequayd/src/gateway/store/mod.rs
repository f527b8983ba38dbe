//! The store role: keeps turns and charges of programs on disk.

mod chain;
mod client;
mod copy;
mod encoded_op;
mod files;
mod group_request;
mod host;
mod path;
mod repair;
mod stream_origins;

pub use {
    chain::{StoredChain, TurnLookup},
    client::{ReserveOutcome, StoreClient},
    encoded_op::{EncodedOp, StoreTarget},
    group_request::SlowMembers,
    host::StoreHost,
    path::{PathProbe, StorePath},
    stream_origins::StreamOrigins,
};
