//! Directory of upstreams, kept by announcements under leases.
//!
//! Sidecars announce themselves to the hosts that keep the [`Directory`]; daemons
//! read what changed since their last read into a [`View`]. Nothing here does I/O
//! or reads a clock, and random numbers are passed in.
//!
//! ```
//! use quay_members::{Directory, MembersSettings, View};
//! use quay_types::Time;
//!
//! let mut directory = Directory::new(Time::ZERO, 1, MembersSettings::default());
//! let mut view = View::default();
//! let changes = directory.changes(Time::ZERO, &view.ask(7));
//! assert!(view.learn(Time::ZERO, changes));
//! assert_eq!(view.entries(Time::ZERO).len(), 0);
//! ```

mod announcer;
mod directory;
mod line;
mod message;
mod pacer;
mod settings;
mod view;

pub use {
    announcer::HostContact,
    directory::{Directory, MemberLine},
    line::Suspicion,
    message::{
        Changes, ChangesRequest, Complaint, FullLine, Heartbeat, LoadLine, MembersReply,
        MembersRequest, Slot,
    },
    pacer::Pacer,
    settings::MembersSettings,
    view::View,
};
