//! Entries of the replicated log and what is saved beside them.

use {
    crate::Membership,
    quay_types::{Epoch, LogIndex, NodeId},
    serde::{Deserialize, Serialize},
};

/// A place in the log. Of two logs the one whose last position is greater is
/// the more complete one: the term counts first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Term of the leader that proposed the entry.
    pub term: Epoch,
    /// Index of the entry.
    pub index: LogIndex,
}

/// What an entry carries.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: the first entry of a leader's term.
    Empty,
    /// An encoded command of the state machine.
    Command(#[serde(with = "quay_types::bytes")] Box<[u8]>),
    /// The members from this entry on.
    Members(Membership),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Where it stands.
    pub position: Position,
    /// What it carries.
    pub payload: Payload,
}

impl Entry {
    /// Index of the entry.
    #[must_use]
    pub const fn index(&self) -> LogIndex {
        self.position.index
    }

    /// Bytes that the payload takes, for limits on batches.
    #[must_use]
    pub fn bytes(&self) -> usize {
        const FRAME_BYTES: usize = 24;
        match &self.payload {
            Payload::Command(command) => FRAME_BYTES + command.len(),
            Payload::Empty | Payload::Members(_) => FRAME_BYTES,
        }
    }
}

/// What a replica must never forget beside its log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term that the replica has seen; only rises.
    pub term: Epoch,
    /// Whom it voted for in that term.
    pub vote: Option<NodeId>,
}

/// What a snapshot stands for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Last entry that the snapshot covers.
    pub position: Position,
    /// Members at that entry.
    pub members: Membership,
}
