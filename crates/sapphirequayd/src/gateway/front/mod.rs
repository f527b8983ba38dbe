//! The front role: takes callers' requests and passes them on to upstreams.

mod call;
mod chains;
mod connections;
mod events;
mod host;
mod refusal;
mod reservation;
mod starting;
mod stream;
mod upstreams;
mod verdict;

pub use {
    chains::Chains,
    events::EventReader,
    host::FrontHost,
    starting::Starting,
    verdict::{StreamEnd, UPSTREAM_BROKE_OFF, Verdict, verdict},
};
