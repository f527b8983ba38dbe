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

mod allowance;
mod dialect;
mod head;
mod operator;
mod prompt;
mod table;

pub use {
    allowance::Allowance,
    dialect::{Dialect, Forwarding},
    head::{CallHead, Execution, HeadFault, TurnHead, UpstreamHead},
    operator::{OperatorAnswer, OperatorCall, OperatorFault},
    prompt::{BLOCK_TOKENS, PromptPart, blocks, lines, tokens},
    table::{EdgeLimits, Repeat, Route, RoutingTable, Service, TableFault, Target},
};
