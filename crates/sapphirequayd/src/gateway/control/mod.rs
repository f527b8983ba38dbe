//! The control role: routing table, directory of upstreams, members of the
//! stores.

mod api;
mod host;
mod leader_state;
mod membership;
mod state;

pub use {
    host::{ControlHost, FOLLOW_POLL_TIMEOUT},
    membership::{MembershipInputs, next_membership_change},
    state::ControlState,
};
