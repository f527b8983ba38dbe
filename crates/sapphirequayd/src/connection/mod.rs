//! HTTP connections: the server for callers and the clients of upstreams.

mod engine;
mod entry_server;
mod limited_stream;
mod listener;
mod monitor_server;
mod programs;
mod responder;
mod response;
mod response_limits;
mod route;
mod service;
mod upstream_client;

pub use {
    engine::{EngineClient, EngineStream, StreamId},
    entry_server::{BODY_COPIES, EntryContext, EntryServer},
    limited_stream::{CloseOnDrop, LimitedBody, LimitedStream, OverheadLimit, is_final_status},
    monitor_server::MonitorServer,
    response_limits::{RESPONSE_COPIES, ResponseLimits},
    service::ServiceClient,
    upstream_client::{ExchangeError, HeadWait, UpstreamClient, UpstreamResponse},
};
