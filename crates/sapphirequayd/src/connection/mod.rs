//! What lives for one connection: callers' HTTP and the upstream's.

mod answer;
mod body;
mod edge;
mod engine;
mod listener;
mod monitor;
mod programs;
mod route;
mod service;

pub use {
    edge::{Edge, EntryContext},
    engine::{EngineClient, EngineStream, StreamId},
    monitor::Monitor,
    service::ServiceClient,
};
