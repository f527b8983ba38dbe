//! The control role: routing table, directory of upstreams, members of the
//! stores.

mod api;
mod host;
mod leading;
mod members;
mod state;

pub use {
    host::{ControlHost, FOLLOW_WAIT},
    members::{MembersView, next_change},
    state::ControlState,
};
