//! Messages about groups between hosts, and from operators.

use {
    quay_quorum::{Membership, MembershipChange},
    quay_types::{Epoch, GroupId, LogIndex, NodeId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// First message of a stream about a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuorumRequest {
    /// [`PeerFrame`](super::PeerFrame)s from another replica follow.
    Peer {
        /// The group.
        group: GroupId,
        /// Sender.
        from: NodeId,
        /// Receiver; a host that got a new identity must not take what is
        /// meant for the old one.
        to: NodeId,
        /// Address that the sender accepts links on.
        addr: SocketAddr,
    },
    /// Asks how the replica of a group stands.
    Status(GroupId),
    /// Asks for a change of the members.
    Change(GroupId, MembershipChange),
}

/// Answer to [`QuorumRequest::Status`] and [`QuorumRequest::Change`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuorumReply {
    /// How the replica stands.
    Status {
        /// Identity of the replica.
        node: NodeId,
        /// The leader, if known.
        leader: Option<NodeId>,
        /// Its term.
        term: Epoch,
        /// Last entry known as committed.
        commit: LogIndex,
        /// Last entry.
        last: LogIndex,
        /// Latest members.
        members: Membership,
    },
    /// The change is committed.
    Changed,
    /// The change was proposed, and may yet be committed.
    Unknown,
    /// Nothing happened; says why.
    Refused(Box<str>),
}
