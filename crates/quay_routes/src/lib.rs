//! Routes of plain HTTP requests to services.
//!
//! A [`RoutingTable`] is one revision of what operators allow: routes by host
//! and path prefix, each with its service, its time limit and what may be
//! repeated. A [`Dialect`] translates between a platform's messages and these
//! types; nothing else knows the platform's names.
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

mod deadline;
mod dialect;
mod head;
mod operator;
mod prompt;
mod table;

pub use {
    deadline::RequestDeadline,
    dialect::{Dialect, Forwarding},
    head::{CallHead, Execution, HeadError, TurnHead, UpstreamHead},
    operator::{OperatorCall, OperatorError, OperatorResponse},
    prompt::{BLOCK_TOKENS, PromptPart, block_hashes, branch_ids, token_count},
    table::{EdgeLimits, RepeatPolicy, Route, RoutingTable, Service, TableError, Target},
};
