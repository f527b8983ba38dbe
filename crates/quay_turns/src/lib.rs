//! Kept turns and token budgets on a small set of store hosts.
//!
//! Every rule is plain state: answers of stores and the time go in, verdicts
//! come out. The shells that send, sync and copy live in the daemon.
//!
//! ```
//! use quay_turns::{StoreMember, StoreView, WriteTally, WriteVerdict};
//!
//! let member = |identity| StoreMember {
//!     host: format!("store-{identity}").into(),
//!     identity,
//!     addr: ([127, 0, 0, 1], 7_000).into(),
//!     whole: true,
//!     ..StoreMember::default()
//! };
//! let view = StoreView { epoch: 1, members: vec![member(1), member(2), member(3)], ..StoreView::default() };
//! let mut tally = WriteTally::new(&view);
//! tally.took(1);
//! assert_eq!(tally.verdict(), WriteVerdict::Open);
//! tally.took(3);
//! assert_eq!(tally.verdict(), WriteVerdict::Durable);
//! ```

mod charge;
mod roster;
mod shelf;
mod tally;
mod turn;
mod view;

pub use {
    charge::{Charge, ChargeBook, Standing},
    roster::{Hello, Roster, RosterSettings, StoreChange},
    shelf::{Chain, Place, Shelf, ShelfSettings, StaleView},
    tally::{ChargeTally, ChargeVerdict, LookupTally, LookupVerdict, WriteTally, WriteVerdict},
    turn::{Record, TurnRecord},
    view::{Source, StoreMember, StoreView},
};
