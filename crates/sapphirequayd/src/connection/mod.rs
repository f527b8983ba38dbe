//! What lives for one connection: callers' HTTP and the upstream's.

mod answer;
mod body;
mod edge;
mod engine;
mod listener;
mod programs;
mod route;
mod service;

pub use {
    edge::{Edge, EntryContext},
    engine::{EngineClient, EngineStream, StreamId},
    service::ServiceClient,
};
