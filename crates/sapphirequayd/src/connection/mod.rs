//! What lives for one connection: callers' HTTP and the upstream's.

mod answer;
mod body;
mod edge;
mod engine;
mod listener;
mod route;

pub use {
    edge::{Edge, EntryContext},
    engine::{EngineClient, EngineStream, StreamId},
};
