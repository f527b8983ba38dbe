//! Directory of upstreams, maintained by announcements under leases.
//!
//! Sidecars announce themselves to the hosts that keep the [`Directory`];
//! daemons read the changes since their last read into a [`DirectoryView`]. The
//! crate does no I/O and reads no clock, and random numbers are passed in.
//!
//! ```
//! use quay_members::{Directory, DirectoryView, MembersSettings};
//! use quay_types::Time;
//!
//! let mut directory = Directory::new(Time::ZERO, 1, MembersSettings::default());
//! let mut view = DirectoryView::default();
//! let changes = directory.changes(Time::ZERO, &view.next_request(7));
//! assert!(view.apply(Time::ZERO, changes));
//! assert_eq!(view.entries(Time::ZERO).len(), 0);
//! ```

mod announcement_limits;
mod departures;
mod directory;
mod entry;
mod host_contact;
mod message;
mod pacer;
mod settings;
mod view;

pub use {
    announcement_limits::{AnnouncementFault, AnnouncementLimits},
    departures::{Departure, DepartureChanges, DepartureLog},
    directory::{Directory, MemberStatus},
    entry::Suspicion,
    host_contact::HostContact,
    message::{
        Changes, ChangesRequest, CompactLoad, FailureReport, FullEntry, Heartbeat, MembersReply,
        MembersRequest, Slot,
    },
    pacer::Pacer,
    settings::MembersSettings,
    view::DirectoryView,
};
