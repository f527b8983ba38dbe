//! Routing of HTTP requests to services.
//!
//! A [`RoutingTable`] is one revision of the operators' routing configuration:
//! routes by host and path prefix, each with its services, time limits and
//! retry policy. A [`Dialect`] translates between a platform's HTTP messages
//! and these types; no other code depends on the platform's header and field
//! names.
//!
//! ```
//! use quay_routes::{Route, RoutingTable, Target};
//!
//! let route = |prefix: &str, service: &str| Route {
//!     host: "shop.example".into(),
//!     prefix: prefix.into(),
//!     targets: [Target::new(service, 1)].into(),
//!     ..Route::default()
//! };
//! let table = RoutingTable {
//!     routes: vec![route("/", "front"), route("/orders/", "orders")],
//!     ..RoutingTable::default()
//! };
//! let found = table.find("shop.example", "/orders/7").expect("route");
//! assert_eq!(&*found.targets[0].service, "orders");
//! ```

mod access;
mod account;
mod call_ids;
mod deadline;
mod dialect;
mod head;
mod operator;
mod prompt;
mod table;

pub use {
    access::{Caller, CallerAccount, KeyPolicy, KeyRefusal},
    account::{Account, AccountTable, KeyDigest, Quota},
    call_ids::CallIds,
    deadline::RequestDeadline,
    dialect::{Dialect, ForwardedAccount, Forwarding},
    head::{
        CallHead, Credential, Execution, HeadError, ResumedHead, TurnHead, UpstreamHead,
        UpstreamLoad,
    },
    operator::{OperatorCall, OperatorError, OperatorResponse},
    prompt::{BLOCK_TOKENS, PromptPart, block_hashes, branch_ids, token_count},
    table::{EdgeLimits, RepeatPolicy, Route, RouteKey, RoutingTable, Service, TableError, Target},
};
