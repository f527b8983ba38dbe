//! The control role: holds the routing table, the directory of upstreams and
//! the membership of the stores.

mod api;
mod host;
mod leader_state;
mod membership;
mod saved_hosts;
mod state;
mod stop;

pub use {
    host::{ControlHost, FOLLOW_POLL_TIMEOUT},
    membership::{MembershipInputs, next_membership_change},
    saved_hosts::SavedHosts,
    state::ControlState,
};
