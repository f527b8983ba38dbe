//! What lives for one connection: callers' HTTP and the upstream's.

mod answer;
mod edge;
mod engine;
mod programs;
mod service;

pub use {
    edge::{Edge, EntryContext},
    engine::{EngineClient, EngineEvent},
    service::ServiceClient,
};
