//! What a group replicates.

use {
    quay_types::{Epoch, LogIndex},
    serde::{Serialize, de::DeserializeOwned},
};

/// State that every replica of a group reaches by the same commands in the
/// same order.
///
/// `apply` must depend on nothing but the state and its arguments: no clock,
/// no random number, no iteration over an unordered collection. A command that
/// needs the time carries the time that its leader read.
pub trait StateMachine: Send + 'static {
    /// Changes the state.
    type Command: Serialize + DeserializeOwned + Send + 'static;
    /// Answer to a command.
    type Reply: Send + 'static;
    /// Asks without changing the state.
    type Query: Send + 'static;
    /// Answer to a query.
    type Answer: Send + 'static;
    /// The whole state, for snapshots.
    type Snapshot: Serialize + DeserializeOwned + Send + 'static;

    /// Carries out a committed command.
    ///
    /// `index` is the command's position in the log and `epoch` the term of the
    /// leader that proposed it; both are the same on every replica.
    fn apply(&mut self, index: LogIndex, epoch: Epoch, command: Self::Command) -> Self::Reply;

    /// Answers a query.
    fn query(&self, query: &Self::Query) -> Self::Answer;

    /// Copies the state.
    fn snapshot(&self) -> Self::Snapshot;

    /// Replaces the state.
    fn restore(&mut self, snapshot: Self::Snapshot);
}
