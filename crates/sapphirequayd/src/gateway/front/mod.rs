//! The front role: accepts callers' requests and forwards them to upstreams.

mod account_meters;
mod body_reader;
mod buffer_space;
mod call;
mod caller;
mod connections;
mod conversation_cache;
mod drain;
mod events;
mod front_suspects;
mod history;
mod host;
mod in_flight;
mod memory;
mod owned_turn;
mod refusal;
mod reservation;
mod startup_wait;
mod stream;
mod upstream_outcome;
mod upstreams;

pub use {
    buffer_space::{BufferShare, BufferSpace},
    conversation_cache::ConversationCache,
    events::EventReader,
    front_suspects::FrontSuspects,
    host::FrontHost,
    memory::FrontMemory,
    startup_wait::StartupWait,
    upstream_outcome::{StreamEnd, UPSTREAM_DISCONNECTED, UpstreamOutcome, upstream_outcome},
    upstreams::{Pool, SelectedUpstream, Upstreams},
};
