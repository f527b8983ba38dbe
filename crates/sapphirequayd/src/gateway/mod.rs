//! The roles of a gateway: fronts pass plain HTTP requests on to upstreams,
//! control hosts keep what operators and upstreams say, store hosts keep turns
//! and charges of programs.
//!
//! Each process runs tasks on one `tokio` thread; the replica of a control host
//! has threads of its own. A [`Dialect`](quay_routes::Dialect) stands between
//! the wire and everything here.

mod control;
mod control_client;
mod front;
mod http_server;
mod messages;
mod meters;
mod run;
mod store;

pub use {
    control::{ControlState, MembershipInputs, next_membership_change},
    front::{Chains, EventReader, Starting, StreamEnd, UPSTREAM_BROKE_OFF, Verdict, verdict},
    messages::{ControlCommand, GatewayRequest, StoreOp, StoreReply, StoreRequest, TableText},
    run::run,
    store::{PathProbe, StorePath},
};
