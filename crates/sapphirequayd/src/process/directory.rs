//! Keeps the directory of upstreams on a ledger host.

use {
    crate::process::Actor,
    indexmap::IndexSet,
    quay_members::{Directory, MemberStatus, MembersReply, MembersRequest},
    quay_types::{Time, UpstreamId},
    std::{sync::mpsc::SyncSender, time::Duration},
};

/// What the directory is told.
pub enum DirectoryMsg {
    /// A request of a sidecar or a reader.
    Request {
        /// The request.
        req: MembersRequest,
        /// Takes the answer.
        reply: SyncSender<MembersReply>,
    },
    /// The upstreams that are marked to leave.
    Drained(IndexSet<UpstreamId>),
    /// Asks for every line.
    Members(SyncSender<Vec<MemberStatus>>),
}

impl Actor for Directory {
    type Msg = DirectoryMsg;

    const TICK: Duration = Duration::from_millis(100);

    fn handle(&mut self, now: Time, msg: DirectoryMsg) {
        match msg {
            DirectoryMsg::Request { req, reply } => {
                let _ = reply.send(Self::handle(self, now, req));
            }
            DirectoryMsg::Drained(drained) => self.set_drained(now, drained),
            DirectoryMsg::Members(reply) => drop(reply.send(self.members(now))),
        }
    }

    fn tick(&mut self, now: Time) {
        Self::tick(self, now);
    }
}
