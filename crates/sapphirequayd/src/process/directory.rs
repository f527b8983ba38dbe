//! Runs the upstream directory of a ledger host as an actor.

use {
    crate::process::Actor,
    indexmap::IndexSet,
    quay_members::{Directory, MemberStatus, MembersReply, MembersRequest},
    quay_types::{Time, UpstreamId},
    std::{sync::mpsc::SyncSender, time::Duration},
};

/// Messages to the directory.
pub enum DirectoryMsg {
    /// A request of a sidecar or of an entry that reads the directory.
    Request {
        /// The request.
        req: MembersRequest,
        /// Receives the reply.
        reply: SyncSender<MembersReply>,
    },
    /// Replaces the set of upstreams that an operator has marked to drain.
    Drained(IndexSet<UpstreamId>),
    /// Asks for the status of every upstream.
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
