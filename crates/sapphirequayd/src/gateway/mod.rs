//! Roles of a gateway: fronts forward plain HTTP requests to upstreams, control
//! hosts replicate routing tables and announcements of upstreams, store hosts
//! store the turns and charges of programs.
//!
//! Each process runs its tasks on one `tokio` thread; the replica of a control
//! host has its own threads. A [`Dialect`](quay_routes::Dialect) translates
//! between the HTTP messages on the wire and the types used here.

mod control;
mod control_client;
mod front;
mod http_server;
mod incoming_calls;
mod messages;
mod meters;
mod run;
mod store;

pub use {
    control::{ControlState, MembershipInputs, next_membership_change},
    front::{
        BufferShare, BufferSpace, ConversationCache, EventReader, FrontSuspects, Pool,
        SelectedUpstream, StartupWait, StreamEnd, UPSTREAM_DISCONNECTED, UpstreamOutcome,
        Upstreams, upstream_outcome,
    },
    messages::{
        ControlCommand, FollowerState, GatewayRequest, StoreOp, StoreReply, StoreRequest,
        SuspectList, TableDocument,
    },
    run::run,
    store::{PathProbe, SlowMembers, StorePath, StreamOrigins},
};
