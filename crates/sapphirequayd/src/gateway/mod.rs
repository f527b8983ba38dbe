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
    front::{
        ConversationCache, EventReader, StartupWait, StreamEnd, UPSTREAM_DISCONNECTED,
        UpstreamOutcome, upstream_outcome,
    },
    messages::{ControlCommand, GatewayRequest, StoreOp, StoreReply, StoreRequest, TableDocument},
    run::run,
    store::{PathProbe, StorePath},
};
