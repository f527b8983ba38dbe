//! Inputs of a replica and the actions it requests.

use {
    crate::{Entry, HardState, MembershipChange, Message, SnapshotMeta},
    quay_types::{Epoch, LogIndex, NodeId},
};

/// Identifier of a write to disk. Writes are carried out in ascending order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PersistId(pub u64);

/// An event that a replica reacts to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Checks whether a timer has expired.
    Tick,
    /// A message from another replica has arrived.
    Message {
        /// Sender.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// Proposes a command; answered by [`Action::Proposed`] or
    /// [`Action::Refused`].
    Propose {
        /// Correlation tag, repeated in the answer.
        tag: u64,
        /// The encoded command.
        command: Box<[u8]>,
    },
    /// Requests a linearizable read; answered by [`Action::ReadReady`] or
    /// [`Action::Refused`].
    Read {
        /// Correlation tag, repeated in the answer.
        tag: u64,
    },
    /// Proposes a change of the membership; answered like
    /// [`Input::Propose`].
    ChangeMembership {
        /// Correlation tag, repeated in the answer.
        tag: u64,
        /// The membership change.
        change: MembershipChange,
    },
    /// The write with this identifier and all earlier writes are synced to
    /// disk.
    Persisted(PersistId),
    /// A snapshot of this replica's own state up to this index is synced to
    /// disk, so that earlier entries may be compacted.
    SnapshotSaved(LogIndex),
    /// The snapshot that [`Action::SendSnapshot`] requested for this peer is queued;
    /// messages that the replica sends to the peer from now on arrive after it, if it
    /// arrives at all.
    SnapshotQueued(NodeId),
}

/// A write to disk. The entries replace all persisted entries from the index of
/// the first new one on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Persist {
    /// Identifier of the write.
    pub id: PersistId,
    /// Term and vote; `None` if unchanged.
    pub hard_state: Option<HardState>,
    /// New entries, in index order.
    pub entries: Vec<Entry>,
}

/// Why a request was refused. A refused request has not been proposed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// This replica is not the leader; names the leader if it is known.
    NotLeader(Option<NodeId>),
    /// No quorum has answered within `Settings::quorum_timeout`.
    NoQuorum,
    /// The leader has not committed an entry of its term yet and so does not
    /// know the commit index.
    NotReady,
    /// Another membership change is not committed yet.
    ChangeInProgress,
    /// The change is not valid for the current membership.
    InvalidChange,
    /// The learner lacks more than `Settings::max_promotion_lag` entries or has
    /// not answered within an election timeout.
    LearnerBehind,
}

/// An operation that a replica requests from its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Write and sync to disk, then pass [`Input::Persisted`].
    Persist(Persist),
    /// Send a message; delivery is not required.
    Send {
        /// Receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Send the latest persisted snapshot as [`Message::Snapshot`] of this
    /// term, then pass [`Input::SnapshotQueued`].
    SendSnapshot {
        /// Receiver.
        to: NodeId,
        /// Term of the leader.
        term: Epoch,
    },
    /// Replace the state by a snapshot and persist the snapshot, then pass
    /// [`Input::Persisted`].
    Restore {
        /// Identifier of the write.
        persist_id: PersistId,
        /// Position and membership that the snapshot covers.
        meta: SnapshotMeta,
        /// The encoded state.
        data: Box<[u8]>,
        /// Whether to keep persisted entries after the snapshot's position.
        keep: bool,
    },
    /// Apply committed entries to the state machine, in order.
    Apply(Vec<Entry>),
    /// A proposal was appended to the log. It is committed once the entry at
    /// `index` is applied with the same term.
    Proposed {
        /// Correlation tag of the proposal.
        tag: u64,
        /// Index of its entry.
        index: LogIndex,
        /// Term of its entry.
        term: Epoch,
    },
    /// A request was refused.
    Refused {
        /// Correlation tag of the request.
        tag: u64,
        /// Reason of the refusal.
        refusal: Refusal,
    },
    /// A read may be answered from the applied state, which includes all
    /// entries up to `index`.
    ReadReady {
        /// Correlation tag of the read.
        tag: u64,
        /// Commit index at the time of the request.
        index: LogIndex,
    },
    /// This replica has become the leader of the given term.
    BecameLeader(Epoch),
    /// This replica is no longer the leader; pending proposals may still
    /// commit.
    SteppedDown,
}
