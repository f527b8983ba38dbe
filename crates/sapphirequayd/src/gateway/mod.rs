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
mod host_memory;
mod http_server;
mod incoming_calls;
mod messages;
mod meters;
mod open_connection;
mod request_body;
mod run;
mod server_stop;
mod store;

pub use {
    control::{ControlState, MembershipInputs, next_membership_change},
    front::{
        BufferShare, BufferSpace, ConversationCache, EventReader, FrontMemory, FrontSuspects, Pool,
        SelectedUpstream, StartupWait, StreamEnd, UPSTREAM_DISCONNECTED, UpstreamOutcome,
        Upstreams, upstream_outcome,
    },
    host_memory::{HostLimits, HostMemory, MemoryGuard},
    http_server::{Body, BodyAborted, ChannelBody, ServerLimits, full, serve as serve_http},
    messages::{
        ControlCommand, ControlUpdate, FollowerState, GatewayRequest, StoreOp, StoreReply,
        StoreRequest, SuspectList, TableDocument,
    },
    request_body::{BodyCaller, BodyError, DiscardLimits, discard, read_request_body},
    run::run,
    server_stop::{ServerStop, StopPhase, serve_until_stopped},
    store::{EncodedOp, PathProbe, SlowMembers, StorePath, StoreTarget, StreamOrigins},
};

use {quay_policy::AccountLimit, quay_routes::RoutingTable, quay_types::AccountId};

/// Limits of the accounts that have one.
fn account_limits(table: &RoutingTable) -> Vec<(AccountId, AccountLimit)> {
    let limited = table.accounts.iter().filter_map(|account| {
        let quota = account.quota?;
        let limit = AccountLimit {
            rate: quota.rate,
            burst: quota.burst,
        };
        Some((account.id(), limit))
    });
    limited.collect()
}
