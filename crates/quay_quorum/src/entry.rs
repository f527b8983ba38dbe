//! Log entries, and the term, vote and snapshot metadata persisted with them.

use {
    crate::Membership,
    quay_types::{Epoch, LogIndex, NodeId},
    serde::{Deserialize, Serialize},
};

/// Term and index of an entry. Positions compare by term first: of two logs,
/// the one with the greater last position is the more up-to-date one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Term of the leader that proposed the entry.
    pub term: Epoch,
    /// Index of the entry.
    pub index: LogIndex,
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// No content: the first entry of a leader's term.
    Empty,
    /// An encoded command of the state machine.
    Command(#[serde(with = "quay_types::bytes")] Box<[u8]>),
    /// Membership in force from this entry on.
    Members(Membership),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Term and index.
    pub position: Position,
    /// Content.
    pub payload: Payload,
}

impl Entry {
    /// Index of the entry.
    #[must_use]
    pub const fn index(&self) -> LogIndex {
        self.position.index
    }

    /// Approximate encoded size in bytes, used to limit batches.
    #[must_use]
    pub fn bytes(&self) -> usize {
        const FRAME_BYTES: usize = 24;
        match &self.payload {
            Payload::Command(command) => FRAME_BYTES + command.len(),
            Payload::Empty | Payload::Members(_) => FRAME_BYTES,
        }
    }
}

/// State that a replica must persist besides its log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term that the replica has seen; never decreases.
    pub term: Epoch,
    /// Candidate that the replica voted for in that term.
    pub vote: Option<NodeId>,
}

/// Position and membership that a snapshot covers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Last entry that the snapshot covers.
    pub position: Position,
    /// Membership in force at that entry.
    pub members: Membership,
}
