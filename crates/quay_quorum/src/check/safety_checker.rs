//! Checks the safety properties of the protocol over all replicas.

use {
    crate::{Entry, Payload, Position, Replica},
    indexmap::IndexMap,
    quay_types::{Epoch, LogIndex, NodeId},
    std::fmt,
};

/// A violated safety property.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// Two replicas became leader in the same term.
    TwoLeaders(Epoch, NodeId, NodeId),
    /// Replicas applied different entries at the same index.
    Diverged(NodeId, LogIndex),
    /// A replica applied an entry that does not directly follow its last one.
    OutOfOrder(NodeId, LogIndex),
    /// A new leader lacks a committed entry.
    CommittedLost(NodeId, LogIndex),
    /// A command was acknowledged before a quorum had persisted its entry.
    NotDurable(LogIndex),
    /// A confirmed read does not include a command that was acknowledged before
    /// the read was requested.
    StaleRead {
        /// Replica that answered the read.
        node: NodeId,
        /// Index up to which the read includes entries.
        read_index: LogIndex,
        /// Last index that was acknowledged when the read was requested.
        required_index: LogIndex,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// A committed entry: its term and a digest of all entries up to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Committed {
    term: Epoch,
    digest: u64,
}

/// State of the simulated state machine: a digest of every applied entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct AppliedState {
    /// Index of the last applied entry.
    pub index: LogIndex,
    /// Digest of all entries up to `index`.
    pub digest: u64,
}

impl AppliedState {
    /// Applies an entry.
    fn apply(&mut self, entry: &Entry) {
        const PRIME: u64 = 0x0000_0100_0000_01b3;
        let mut mix = |value: u64| self.digest = (self.digest ^ value).wrapping_mul(PRIME);
        mix(entry.position.term.0);
        match &entry.payload {
            Payload::Empty => mix(1),
            Payload::Command(command) => command.iter().for_each(|byte| mix(u64::from(*byte) + 2)),
            Payload::Members(members) => members.all().for_each(|member| mix(member.node.0)),
        }
        self.index = entry.index();
    }

    /// Encodes the state for a snapshot.
    #[must_use]
    pub fn encode(&self) -> Box<[u8]> {
        [self.index.0.to_le_bytes(), self.digest.to_le_bytes()]
            .concat()
            .into()
    }

    /// Decodes a state from a snapshot.
    #[must_use]
    pub fn decode(data: &[u8]) -> Self {
        let word = |from: usize| {
            let bytes = data.get(from..from + 8).unwrap_or(&[0; 8]);
            bytes
                .iter()
                .rev()
                .fold(0, |value, byte| value << 8 | u64::from(*byte))
        };
        Self {
            index: LogIndex(word(0)),
            digest: word(8),
        }
    }
}

/// Checks every election, applied entry, acknowledgement and read.
#[derive(Debug, Clone, Default)]
pub struct SafetyChecker {
    leaders: IndexMap<Epoch, NodeId>,
    /// Committed entries; position 0 holds the entry at index 1.
    history: Vec<Committed>,
    /// Terms in which these were committed, which may be later than those of the entries.
    commit_terms: Vec<Epoch>,
    /// Index of the last command that was acknowledged as committed.
    acknowledged: LogIndex,
}

impl SafetyChecker {
    /// Number of committed entries.
    #[must_use]
    pub fn commits(&self) -> u64 {
        self.history.len() as u64
    }

    /// Number of elected leaders.
    #[must_use]
    pub fn elections(&self) -> u64 {
        self.leaders.len() as u64
    }

    /// Index of the last command that was acknowledged as committed.
    #[must_use]
    pub const fn acknowledged(&self) -> LogIndex {
        self.acknowledged
    }

    /// Returns the committed entry at an index.
    fn committed(&self, index: LogIndex) -> Option<Committed> {
        let slot = usize::try_from(index.0.checked_sub(1)?).ok()?;
        self.history.get(slot).copied()
    }

    /// Checks a replica that has become leader.
    ///
    /// # Errors
    ///
    /// If the term already has another leader, or the replica lacks an entry that was
    /// committed in an earlier term.
    pub fn on_leader_elected(&mut self, replica: &Replica, term: Epoch) -> Result<(), Violation> {
        let node = replica.status().node;
        let known = *self.leaders.entry(term).or_insert(node);
        if known != node {
            return Err(Violation::TwoLeaders(term, known, node));
        }
        let compacted_through = replica.compacted_through().index;
        // The leader of an earlier term need not have entries that a later one has committed.
        let earlier = self.commit_terms.partition_point(|it| *it < term) as u64;
        for index in (compacted_through.0 + 1..=earlier).map(LogIndex) {
            let Some(committed) = self.committed(index) else {
                break;
            };
            let entry_term = replica.entry(index).map(|entry| entry.position.term);
            if entry_term != Some(committed.term) {
                return Err(Violation::CommittedLost(node, index));
            }
        }
        Ok(())
    }

    /// Applies an entry to a replica's state and checks the result. `term` is the
    /// replica's current one.
    ///
    /// # Errors
    ///
    /// If the entry does not directly follow the last one, or another replica
    /// applied a different entry at this index.
    pub fn on_apply(
        &mut self,
        node: NodeId,
        term: Epoch,
        state: &mut AppliedState,
        entry: &Entry,
    ) -> Result<(), Violation> {
        let index = entry.index();
        if index.0 != state.index.0 + 1 {
            return Err(Violation::OutOfOrder(node, index));
        }
        state.apply(entry);
        let now = Committed {
            term: entry.position.term,
            digest: state.digest,
        };
        match self.committed(index) {
            Some(known) if known == now => Ok(()),
            None if index.0 == self.commits() + 1 => {
                self.history.push(now);
                self.commit_terms.push(term);
                Ok(())
            }
            _ => Err(Violation::Diverged(node, index)),
        }
    }

    /// Checks a snapshot that a replica installs.
    ///
    /// # Errors
    ///
    /// If the state differs from the committed state at the snapshot's
    /// position.
    pub fn on_restore(
        &self,
        node: NodeId,
        state: AppliedState,
        position: Position,
    ) -> Result<(), Violation> {
        let expected = Committed {
            term: position.term,
            digest: state.digest,
        };
        if state.index == position.index && self.committed(position.index) == Some(expected) {
            return Ok(());
        }
        Err(Violation::Diverged(node, position.index))
    }

    /// Checks a command that is acknowledged as committed while `durable`
    /// voters have persisted its entry.
    ///
    /// # Errors
    ///
    /// If `durable` is less than `quorum`.
    pub fn on_acknowledge(
        &mut self,
        index: LogIndex,
        durable: usize,
        quorum: usize,
    ) -> Result<(), Violation> {
        if durable < quorum {
            return Err(Violation::NotDurable(index));
        }
        self.acknowledged = self.acknowledged.max(index);
        Ok(())
    }

    /// Checks a confirmed read. `required_index` is the last index that was
    /// acknowledged when the read was requested.
    ///
    /// # Errors
    ///
    /// If the read does not include a command acknowledged before the request.
    pub fn on_read(
        &self,
        node: NodeId,
        read_index: LogIndex,
        required_index: LogIndex,
    ) -> Result<(), Violation> {
        if read_index < required_index {
            return Err(Violation::StaleRead {
                node,
                read_index,
                required_index,
            });
        }
        Ok(())
    }
}
