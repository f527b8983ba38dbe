//! What a sidecar tells one host, and what it knows to have arrived.

use {
    crate::{Heartbeat, MembersReply, MembersRequest},
    quay_types::{Announcement, Load, UpstreamState},
};

/// A sidecar's contact with one host that keeps the directory.
#[derive(Debug, Clone, Default)]
pub struct HostContact {
    /// Whether the host knows the announcement in full.
    known: bool,
    /// Last sequence whose answer was heard.
    acked: u64,
}

impl HostContact {
    /// What to tell the host now. `announcement` carries the next sequence.
    #[must_use]
    pub fn next_request(&self, announcement: &Announcement) -> MembersRequest {
        if !self.known {
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

    /// Takes the host's answer; `None` if there was none.
    pub fn on_reply(&mut self, reply: Option<&MembersReply>) {
        match reply {
            Some(MembersReply::Acknowledged(sequence)) => {
                self.known = true;
                self.acked = self.acked.max(*sequence);
            }
            Some(MembersReply::Unknown) => self.known = false,
            // Without an answer the host may have heard or not: the next
            // heartbeat says which answer was the last to arrive.
            None
            | Some(MembersReply::Superseded | MembersReply::Full | MembersReply::Changes(_)) => {}
        }
    }
}
