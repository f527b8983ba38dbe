//! Replicated log in the manner of Raft, as a state machine without I/O.
//!
//! [`Replica::step`] takes an [`Input`] and the current time and returns
//! [`Action`]s: what to persist, send and apply. A replica never reads a clock,
//! a disk or a socket, so the same inputs give the same actions in a daemon and
//! in the simulations of [`check`], which inject faults drawn from a seed.
//!
//! ```
//! use quay_quorum::{Action, Input, Member, Membership, Replica, Settings};
//! use quay_types::{NodeId, Time};
//!
//! let only = Membership::from_voters([Member::new(NodeId(1), "127.0.0.1:1".parse().expect("address"), "dc-1")]);
//! let mut replica = Replica::bootstrap(NodeId(1), only, Settings::default(), 7, Time::ZERO);
//! // The election timeout passes; the only voter elects itself once its vote is persisted.
//! let now = Time::from_millis(5_000);
//! replica.step(now, Input::Tick);
//! let persisted: Vec<_> = replica.flush(now).into_iter().filter_map(|action| match action {
//!     Action::Persist(persist) => Some(persist.id),
//!     _ => None,
//! }).collect();
//! replica.step(now, Input::Persisted(persisted[0]));
//! assert!(replica.status().leads);
//! ```

mod action;
pub mod check;
mod entry;
mod machine;
mod membership;
mod memory_log;
mod message;
mod placement;
mod progress;
mod replica;
mod settings;

pub use {
    action::{Action, Input, Persist, PersistId, Refusal},
    entry::{Entry, HardState, Payload, Position, SnapshotMeta},
    machine::StateMachine,
    membership::{Member, Membership, MembershipChange},
    message::{AppendOutcome, Message},
    placement::{PlacementAdvice, placement_advice},
    replica::{PersistedState, Replica, Status},
    settings::{Mutation, Settings},
};
