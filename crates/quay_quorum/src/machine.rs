//! The state machine that a group replicates.

use {
    quay_types::{Epoch, LogIndex},
    serde::{Serialize, de::DeserializeOwned},
};

/// Deterministic state machine: every replica of a group applies the same
/// commands in the same order and reaches the same state.
///
/// `apply` must depend only on the state and its arguments: no clock, no random
/// numbers, no iteration over an unordered collection. A command that needs the
/// time carries the time that the leader read.
pub trait StateMachine: Send + 'static {
    /// Request that changes the state.
    type Command: Serialize + DeserializeOwned + Send + 'static;
    /// Result of a command.
    type Reply: Send + 'static;
    /// Request that only reads the state.
    type Query: Send + 'static;
    /// Result of a query.
    type Answer: Send + 'static;
    /// Copy of the complete state.
    type Snapshot: Serialize + DeserializeOwned + Send + 'static;

    /// Applies a committed command.
    ///
    /// `index` is the command's position in the log and `epoch` the term of the
    /// leader that proposed it; both are the same on every replica.
    fn apply(&mut self, index: LogIndex, epoch: Epoch, command: Self::Command) -> Self::Reply;

    /// Answers a query.
    fn query(&self, query: &Self::Query) -> Self::Answer;

    /// Returns a copy of the state.
    fn snapshot(&self) -> Self::Snapshot;

    /// Replaces the state by a snapshot.
    fn restore(&mut self, snapshot: Self::Snapshot);
}
