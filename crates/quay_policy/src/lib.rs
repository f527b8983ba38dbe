//! Scheduling decisions for agent programs: where a call goes, when it starts,
//! what stays in KV memory, what is tried again and what is never tried again.
//!
//! Everything here is plain state: time and random numbers are passed in,
//! actions come out, and the same input gives the same output.
//!
//! ```
//! use {
//!     quay_policy::{Admission, AdmitSettings, LearnedLimit, Ticket, TicketId, Verdict},
//!     quay_types::Time,
//! };
//!
//! let mut admission = Admission::<LearnedLimit>::new(AdmitSettings::default());
//! let ticket = Ticket { id: TicketId(1), deadline: Time::from_millis(60_000), ..Ticket::default() };
//! admission.enter(Time::ZERO, ticket);
//! assert_eq!(admission.poll(Time::ZERO), [Verdict::Admit(TicketId(1))]);
//! ```

mod admit;
mod guard;
mod held_blocks;
mod placement;
mod policy;
mod retain;
mod route;

pub use {
    admit::{
        Admission, AdmitSettings, FixedLimit, LearnedLimit, Limit, Observation, Ticket, TicketId,
        Verdict,
    },
    guard::{
        Grant, Leave, RetryBudgets, RetrySettings, SliceGrantor, SliceHolder, SliceSettings,
        SuspectCommand, SuspectReply, SuspectSettings, Suspects,
    },
    held_blocks::HeldBlocks,
    placement::{Move, Placement, PlacementSettings, PlacementView},
    policy::{Policy, PolicySettings},
    retain::{Retention, RetentionAction, RetentionSettings},
    route::{
        CacheBook, Choice, ExpectedTime, FeedState, LeastLoad, LongestPrefix, RouteRequest,
        RouteSettings, Router, Score, Slot, UpstreamView,
    },
};
