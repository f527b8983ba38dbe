//! HTTP connections: the server for callers and the clients of upstreams.

mod engine;
mod entry_server;
mod listener;
mod monitor_server;
mod programs;
mod responder;
mod response;
mod route;
mod service;

pub use {
    engine::{EngineClient, EngineStream, StreamId},
    entry_server::{BODY_COPIES, EntryContext, EntryServer},
    monitor_server::MonitorServer,
    service::ServiceClient,
};
