//! One replicated group as the rest of the daemon sees it.

mod backup;
mod disk;
mod host;
mod in_memory;
mod peers;
mod replicated;
mod request;
mod snapshots;
mod start_error;
mod storage;
mod waiting;

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

/// Why a group did not carry out a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GroupError {
    /// Another replica leads; nothing happened here.
    NotLeader(Option<SocketAddr>),
    /// There is no quorum; nothing happened.
    Unavailable,
    /// The command was proposed, and may yet be carried out.
    Unknown,
}

/// What a group is told.
pub enum GroupMsg<M: StateMachine> {
    /// Carry out a command; the answer comes once it is durable on a quorum.
    Propose {
        /// The command.
        command: M::Command,
        /// Takes the answer.
        reply: SyncSender<Result<M::Reply, GroupError>>,
    },
    /// Answer a query from state that a quorum has confirmed as current.
    Read {
        /// The query.
        query: M::Query,
        /// Takes the answer.
        reply: SyncSender<Result<M::Answer, GroupError>>,
    },
    /// Change the members; answered once the change is committed.
    Change {
        /// The change.
        change: MembershipChange,
        /// Takes the answer.
        reply: SyncSender<Result<(), MembershipChangeError>>,
    },
    /// Tell how the replica stands; `None` for a group in memory.
    Status(SyncSender<Option<Status>>),
    /// Stop at once, as if the process had died.
    Stop,
    /// From the replica's own threads and its peers.
    Event(GroupEvent),
}

/// Why members did not change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipChangeError {
    /// The change was refused; nothing happened.
    Refused(Box<str>),
    /// The change was proposed, and may yet be committed.
    Unknown,
}

/// What a replica hears from its own threads and its peers.
#[derive(Debug)]
pub enum GroupEvent {
    /// A message from a peer.
    Peer {
        /// Sender.
        from: NodeId,
        /// Address that the sender accepts links on.
        addr: SocketAddr,
        /// The message.
        message: Box<Message>,
    },
    /// This save and all before it are synced.
    Persisted(PersistId),
    /// A snapshot of the state after an entry is synced.
    SnapshotSaved(LogIndex),
    /// A snapshot could not be saved; the log goes on growing.
    SnapshotFailed,
    /// The disk failed: what it holds is unknown.
    DiskFailed(Box<str>),
}
