//! Replicated groups: the messages a group accepts and the errors it returns.

mod backup;
mod disk;
mod host;
mod in_memory;
mod peers;
mod pending;
mod replicated;
mod request;
mod snapshots;
mod start_error;
mod storage;

pub use {
    backup::{BackupError, GroupBackup, backup, restore},
    host::GroupHost,
    in_memory::InMemoryGroup,
    peers::PeerFrame,
    replicated::GroupLimits,
    request::{QuorumReply, QuorumRequest},
    start_error::GroupStartError,
};

use {
    quay_quorum::{MembershipChange, Message, PersistId, StateMachine, Status},
    quay_types::{LogIndex, NodeId},
    std::{net::SocketAddr, sync::mpsc::SyncSender},
};

/// Why a group did not complete a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GroupError {
    /// This replica is not the leader and did not process the request. Holds
    /// the leader's address, if known.
    NotLeader(Option<SocketAddr>),
    /// The request was not processed, for example because no quorum answers.
    Unavailable,
    /// The command was proposed and may still be committed.
    Unknown,
}

/// Message to the actor of a group.
pub enum GroupMsg<M: StateMachine> {
    /// Proposes a command; the reply follows once the command is durable on a
    /// quorum.
    Propose {
        /// The command.
        command: M::Command,
        /// Takes the answer.
        reply: SyncSender<Result<M::Reply, GroupError>>,
    },
    /// Runs a query on state that a quorum has confirmed as current.
    Read {
        /// The query.
        query: M::Query,
        /// Takes the answer.
        reply: SyncSender<Result<M::Answer, GroupError>>,
    },
    /// Changes the membership; the reply follows once the change is committed.
    Change {
        /// The change.
        change: MembershipChange,
        /// Takes the answer.
        reply: SyncSender<Result<(), MembershipChangeError>>,
    },
    /// Requests the status of the replica; `None` for a group in memory or a
    /// stopped replica.
    Status(SyncSender<Option<Status>>),
    /// Stops the replica at once, as if the process had crashed.
    Stop,
    /// Event from the replica's own threads or its peers.
    Event(GroupEvent),
}

/// Why a membership change did not complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipChangeError {
    /// The change was refused and has no effect; holds the reason.
    Refused(Box<str>),
    /// The change was proposed and may still be committed.
    Unknown,
}

/// Event from a replica's own threads or its peers.
#[derive(Debug)]
pub enum GroupEvent {
    /// A message from a peer.
    Peer {
        /// Identity of the sender.
        from: NodeId,
        /// Address on which the sender accepts links.
        addr: SocketAddr,
        /// The message.
        message: Box<Message>,
    },
    /// This write and all earlier ones are synced to disk.
    Persisted(PersistId),
    /// A snapshot of the state after this entry is synced to disk.
    SnapshotSaved(LogIndex),
    /// A snapshot is in this peer's send queue.
    SnapshotQueued(NodeId),
    /// A snapshot could not be saved, so the log is not compacted.
    SnapshotFailed,
    /// A write to the log failed, so the contents of the disk are unknown; holds
    /// the cause.
    DiskFailed(Box<str>),
}
