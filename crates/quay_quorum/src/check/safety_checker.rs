//! Sees what all replicas do and names the first rule that is broken.

use {
    crate::{Entry, Payload, Position, Replica},
    indexmap::IndexMap,
    quay_types::{Epoch, LogIndex, NodeId},
    std::fmt,
};

/// A broken rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// Two replicas lead in one term.
    TwoLeaders(Epoch, NodeId, NodeId),
    /// Replicas applied different entries at one index.
    Diverged(NodeId, LogIndex),
    /// A replica skipped or repeated an entry.
    OutOfOrder(NodeId, LogIndex),
    /// A new leader lacks an entry that was committed.
    CommittedLost(NodeId, LogIndex),
    /// An answered command is not on the disks of a quorum.
    NotDurable(LogIndex),
    /// A confirmed read misses a command that was answered before it.
    StaleRead {
        /// Replica that answered.
        node: NodeId,
        /// Index that the read saw.
        saw: LogIndex,
        /// Index that was answered before the read was asked for.
        floor: LogIndex,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// One committed entry: its term and a digest of all up to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Committed {
    term: Epoch,
    chain: u64,
}

/// What a replica has applied: a digest that depends on every entry.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Applied {
    /// Last entry that was applied.
    pub index: LogIndex,
    /// Digest of all entries up to it.
    pub chain: u64,
}

impl Applied {
    /// Applies one entry.
    fn apply(&mut self, entry: &Entry) {
        const PRIME: u64 = 0x0000_0100_0000_01b3;
        let mut mix = |value: u64| self.chain = (self.chain ^ value).wrapping_mul(PRIME);
        mix(entry.position.term.0);
        match &entry.payload {
            Payload::Empty => mix(1),
            Payload::Command(command) => command.iter().for_each(|byte| mix(u64::from(*byte) + 2)),
            Payload::Members(members) => members.all().for_each(|member| mix(member.node.0)),
        }
        self.index = entry.index();
    }

    /// The encoded state, for snapshots.
    #[must_use]
    pub fn encode(&self) -> Box<[u8]> {
        [self.index.0.to_le_bytes(), self.chain.to_le_bytes()]
            .concat()
            .into()
    }

    /// Reads an encoded state.
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
            chain: word(8),
        }
    }
}

/// Sees every leader, commit and read.
#[derive(Debug, Clone, Default)]
pub struct SafetyChecker {
    leaders: IndexMap<Epoch, NodeId>,
    /// Position 0 is the entry at index 1.
    history: Vec<Committed>,
    /// Last command that was answered as committed.
    answered: LogIndex,
}

impl SafetyChecker {
    /// Entries that were committed.
    #[must_use]
    pub fn commits(&self) -> u64 {
        self.history.len() as u64
    }

    /// Leaders that were elected.
    #[must_use]
    pub fn elections(&self) -> u64 {
        self.leaders.len() as u64
    }

    /// Last command that was answered as committed.
    #[must_use]
    pub const fn answered(&self) -> LogIndex {
        self.answered
    }

    /// The committed entry at an index.
    fn committed(&self, index: LogIndex) -> Option<Committed> {
        let slot = usize::try_from(index.0.checked_sub(1)?).ok()?;
        self.history.get(slot).copied()
    }

    /// A replica leads from now on.
    ///
    /// # Errors
    ///
    /// If another leads in this term, or a committed entry is missing.
    pub fn on_leader_elected(&mut self, replica: &Replica, term: Epoch) -> Result<(), Violation> {
        let node = replica.status().node;
        let known = *self.leaders.entry(term).or_insert(node);
        if known != node {
            return Err(Violation::TwoLeaders(term, known, node));
        }
        let kept_after = replica.compacted_through().index;
        for index in (kept_after.0 + 1..=self.commits()).map(LogIndex) {
            let Some(committed) = self.committed(index) else {
                break;
            };
            // What a later term committed, an earlier leader need not hold.
            if committed.term >= term {
                break;
            }
            let held = replica.entry(index).map(|entry| entry.position.term);
            if held != Some(committed.term) {
                return Err(Violation::CommittedLost(node, index));
            }
        }
        Ok(())
    }

    /// A replica applies an entry.
    ///
    /// # Errors
    ///
    /// If it is not the next one, or another replica applied another there.
    pub fn on_apply(
        &mut self,
        node: NodeId,
        state: &mut Applied,
        entry: &Entry,
    ) -> Result<(), Violation> {
        let index = entry.index();
        if index.0 != state.index.0 + 1 {
            return Err(Violation::OutOfOrder(node, index));
        }
        state.apply(entry);
        let now = Committed {
            term: entry.position.term,
            chain: state.chain,
        };
        match self.committed(index) {
            Some(known) if known == now => Ok(()),
            None if index.0 == self.commits() + 1 => {
                self.history.push(now);
                Ok(())
            }
            _ => Err(Violation::Diverged(node, index)),
        }
    }

    /// A replica takes a snapshot as its state.
    ///
    /// # Errors
    ///
    /// If the state is not the one that was committed there.
    pub fn on_restore(
        &self,
        node: NodeId,
        state: Applied,
        position: Position,
    ) -> Result<(), Violation> {
        let expected = Committed {
            term: position.term,
            chain: state.chain,
        };
        if state.index == position.index && self.committed(position.index) == Some(expected) {
            return Ok(());
        }
        Err(Violation::Diverged(node, position.index))
    }

    /// A command is answered as committed; `durable` of `quorum` disks hold it.
    ///
    /// # Errors
    ///
    /// If too few disks hold it.
    pub fn on_acknowledge(
        &mut self,
        index: LogIndex,
        durable: usize,
        quorum: usize,
    ) -> Result<(), Violation> {
        if durable < quorum {
            return Err(Violation::NotDurable(index));
        }
        self.answered = self.answered.max(index);
        Ok(())
    }

    /// A read is answered that was asked for when `floor` was answered.
    ///
    /// # Errors
    ///
    /// If it misses a command that was answered before.
    pub fn on_read(&self, node: NodeId, saw: LogIndex, floor: LogIndex) -> Result<(), Violation> {
        if saw < floor {
            return Err(Violation::StaleRead { node, saw, floor });
        }
        Ok(())
    }
}
