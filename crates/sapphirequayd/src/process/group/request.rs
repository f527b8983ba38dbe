//! Requests about groups from other hosts and from operators, and the replies.

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
        /// Identity of the sender.
        from: NodeId,
        /// Identity of the receiver. A host with a new identity must not accept
        /// messages for its old one.
        to: NodeId,
        /// Address on which the sender accepts links.
        addr: SocketAddr,
    },
    /// Requests the status of the host's replica of a group.
    Status(GroupId),
    /// Requests a membership change of a group.
    Change(GroupId, MembershipChange),
}

/// Reply to [`QuorumRequest::Status`] and [`QuorumRequest::Change`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuorumReply {
    /// Status of the replica.
    Status {
        /// Identity of the replica.
        node: NodeId,
        /// Identity of the leader, if known.
        leader: Option<NodeId>,
        /// Current term of the replica.
        term: Epoch,
        /// Index of the last entry known to be committed.
        commit: LogIndex,
        /// Index of the last entry in the replica's log.
        last: LogIndex,
        /// Latest members, committed or not.
        members: Membership,
    },
    /// The change is committed.
    Changed,
    /// The change was proposed and may still be committed.
    Unknown,
    /// The request was refused and has no effect; holds the reason.
    Refused(Box<str>),
}
