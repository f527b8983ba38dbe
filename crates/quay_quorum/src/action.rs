//! What a replica is told and what it asks for.

use {
    crate::{Entry, HardState, MembershipChange, Message, SnapshotMeta},
    quay_types::{Epoch, LogIndex, NodeId},
};

/// Number of a save; saves are carried out in the order of their tickets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PersistId(pub u64);

/// What a replica is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message has arrived.
    Message {
        /// Sender.
        from: NodeId,
        /// The message.
        message: Message,
    },
    /// A command is to be carried out; answered by [`Action::Proposed`] or
    /// [`Action::Refused`].
    Propose {
        /// Repeated in the answer.
        tag: u64,
        /// The encoded command.
        command: Box<[u8]>,
    },
    /// A read is to be confirmed; answered by [`Action::ReadReady`] or
    /// [`Action::Refused`].
    Read {
        /// Repeated in the answer.
        tag: u64,
    },
    /// The members are to change; answered as a proposal.
    ChangeMembership {
        /// Repeated in the answer.
        tag: u64,
        /// The change.
        change: MembershipChange,
    },
    /// This save and all before it are synced.
    Persisted(PersistId),
    /// A snapshot of this replica's own state is synced.
    SnapshotSaved(LogIndex),
}

/// A save. Entries replace those that are saved from their first index on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Persist {
    /// Number of the save.
    pub id: PersistId,
    /// Term and vote, if they changed.
    pub hard_state: Option<HardState>,
    /// New entries, in order.
    pub entries: Vec<Entry>,
}

/// Why a request was refused; nothing of it was proposed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Another replica leads, if known.
    NotLeader(Option<NodeId>),
    /// No quorum has answered of late.
    NoQuorum,
    /// The leader is new and does not know yet what is committed.
    NotReady,
    /// Another change of members is open.
    ChangeInProgress,
    /// The change does not fit the members.
    InvalidChange,
    /// The learner lacks too many entries.
    LearnerBehind,
}

/// What a replica asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Save and sync, then tell [`Input::Persisted`].
    Persist(Persist),
    /// Send a message; it may get lost.
    Send {
        /// Receiver.
        to: NodeId,
        /// The message.
        message: Message,
    },
    /// Send the latest saved snapshot as [`Message::Snapshot`] of this term.
    SendSnapshot {
        /// Receiver.
        to: NodeId,
        /// Term of the leader.
        term: Epoch,
    },
    /// Replace the state by a snapshot; save it, then tell [`Input::Persisted`].
    Restore {
        /// Number of the save.
        persist_id: PersistId,
        /// What the snapshot stands for.
        meta: SnapshotMeta,
        /// The encoded state.
        data: Box<[u8]>,
        /// Whether saved entries after the snapshot stay.
        keep: bool,
    },
    /// Carry out committed entries, in order.
    Apply(Vec<Entry>),
    /// A proposal has its place; it is committed once that place is applied
    /// with the same term.
    Proposed {
        /// Tag of the proposal.
        tag: u64,
        /// Index of its entry.
        index: LogIndex,
        /// Term of its entry.
        term: Epoch,
    },
    /// A request was refused.
    Refused {
        /// Tag of the request.
        tag: u64,
        /// Why.
        refusal: Refusal,
    },
    /// A read may be answered from the state at `index` or later, which has
    /// been applied.
    ReadReady {
        /// Tag of the read.
        tag: u64,
        /// Index that was committed when the read was asked for.
        index: LogIndex,
    },
    /// This replica leads from now on.
    BecameLeader(Epoch),
    /// This replica no longer leads; open proposals may yet commit.
    SteppedDown,
}
