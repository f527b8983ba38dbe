//! State of a sidecar's announcements to one directory host.

use {
    crate::{Heartbeat, MembersReply, MembersRequest},
    quay_types::{Announcement, Load, UpstreamState},
};

/// Tracks what one host that keeps the directory has received from a sidecar.
#[derive(Debug, Clone, Default)]
pub struct HostContact {
    /// Whether the host holds the full announcement.
    host_knows_upstream: bool,
    /// Highest sequence for which a reply has arrived.
    acked: u64,
}

impl HostContact {
    /// Creates the next request: a heartbeat, or the full announcement if the
    /// host does not hold it. `announcement` carries the next sequence.
    #[must_use]
    pub fn next_request(&self, announcement: &Announcement) -> MembersRequest {
        if !self.host_knows_upstream {
            return MembersRequest::Announce(Box::new(announcement.clone()));
        }
        let (state, load): (UpstreamState, Load) = (announcement.state, announcement.load);
        MembersRequest::Heartbeat(Heartbeat {
            upstream: announcement.upstream(),
            incarnation: announcement.incarnation,
            sequence: announcement.sequence,
            acked: self.acked,
            state,
            load,
        })
    }

    /// Processes the host's reply; `None` if no reply arrived.
    pub fn on_reply(&mut self, reply: Option<&MembersReply>) {
        match reply {
            Some(MembersReply::Acknowledged(sequence)) => {
                self.host_knows_upstream = true;
                self.acked = self.acked.max(*sequence);
            }
            Some(MembersReply::Unknown) => self.host_knows_upstream = false,
            // Without a reply it is unknown whether the host received the
            // request. The next heartbeat states the last reply that arrived.
            None
            | Some(MembersReply::Superseded | MembersReply::Full | MembersReply::Changes(_)) => {}
        }
    }
}
