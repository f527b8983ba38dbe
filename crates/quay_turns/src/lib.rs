//! Replicated storage of turns and token budgets on store hosts, using quorums
//! without a leader. Programs are spread over groups of store hosts.
//!
//! The crate does no I/O and reads no clock: it takes the replies of stores and
//! the current time, and returns decisions. Sending, syncing and copying are
//! done by the daemon.
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
//! let view = StoreView { epoch: 1, members: vec![member(1), member(2), member(3)] };
//! let mut tally = WriteTally::new(&view);
//! tally.synced(1);
//! assert_eq!(tally.verdict(), WriteVerdict::Pending);
//! tally.synced(3);
//! assert_eq!(tally.verdict(), WriteVerdict::Durable);
//! ```

mod charge;
mod copy_plan;
mod join;
mod membership;
mod store_index;
mod store_indexes;
mod store_map;
mod tally;
mod turn;
mod view;

pub use {
    charge::{Charge, ChargeSet, ChargeStatus},
    copy_plan::{BatchLimits, CopyPlan, CopyStep, ListedTurn},
    join::{JoinStep, JoinTally},
    membership::{MembershipPlanner, MembershipSettings},
    store_index::{
        ChainLink, ChainPart, RecordLocation, StaleView, StoreIndex, StoreIndexSettings, TurnChain,
    },
    store_indexes::StoreIndexes,
    store_map::{StoreAnnouncement, StoreChange, StoreMap},
    tally::{ChargeTally, ChargeVerdict, LookupTally, LookupVerdict, WriteTally, WriteVerdict},
    turn::{Record, TurnRecord},
    view::{CopySource, StoreMember, StoreView},
};
