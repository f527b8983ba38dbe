//! Decides what a log holds from its records, in order.

use {
    crate::{HardState, LogEntry, Record},
    quay_types::{Epoch, LogIndex},
    std::fmt,
};

/// Why records do not form a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplayError {
    /// Index that was expected at the latest.
    pub expected: LogIndex,
    /// Index that came.
    pub found: LogIndex,
}

impl fmt::Display for ReplayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "entry {} where at most {} fits",
            self.found, self.expected
        )
    }
}

/// The state of a replay.
#[derive(Debug, Clone, Default)]
pub struct Replay {
    /// Last entry that the snapshot covers, and its term.
    covered: (LogIndex, Epoch),
    hard_state: HardState,
    /// Contiguous.
    entries: Vec<LogEntry>,
}

impl Replay {
    /// A replay of the records beside a snapshot that covers entries up to the
    /// given one.
    #[must_use]
    pub fn new(index: LogIndex, term: Epoch) -> Self {
        Self {
            covered: (index, term),
            ..Self::default()
        }
    }

    /// Takes the next record.
    ///
    /// # Errors
    ///
    /// If entries are missing before it.
    pub fn push(&mut self, record: Record) -> Result<(), ReplayError> {
        match record {
            Record::HardState(hard_state) => self.hard_state = hard_state,
            Record::Reset => self.entries.clear(),
            Record::Entry { index, term, body } => {
                self.make_room(index)?;
                self.entries.push(LogEntry { index, term, body });
            }
        }
        Ok(())
    }

    /// Drops the entries that one at `index` replaces.
    fn make_room(&mut self, index: LogIndex) -> Result<(), ReplayError> {
        let after_snapshot = self.covered.0.0 + 1;
        let first = self.entries.first().map(|entry| entry.index.0);
        let next = first.map_or(0, |first| first + self.entries.len() as u64);
        if index.0 > next.max(after_snapshot) {
            return Err(ReplayError {
                expected: LogIndex(next.max(after_snapshot)),
                found: index,
            });
        }
        match first {
            Some(first) if (first..=next).contains(&index.0) => {
                let kept = usize::try_from(index.0 - first).unwrap_or(usize::MAX);
                self.entries.truncate(kept);
            }
            // The snapshot covers what lies between.
            _ => self.entries.clear(),
        }
        Ok(())
    }

    /// The term and vote, and the entries after the snapshot.
    ///
    /// # Errors
    ///
    /// If entries are missing between the snapshot and the first one.
    pub fn finish(mut self) -> Result<(HardState, Vec<LogEntry>), ReplayError> {
        let (covered, term) = self.covered;
        let at_snapshot = self.entries.iter().find(|entry| entry.index == covered);
        if at_snapshot.is_some_and(|entry| entry.term != term) {
            // The snapshot came from another leader; these entries lost.
            self.entries.clear();
        }
        self.entries.retain(|entry| entry.index > covered);
        let expected = LogIndex(covered.0 + 1);
        match self.entries.first() {
            Some(first) if first.index != expected => Err(ReplayError {
                expected,
                found: first.index,
            }),
            _ => Ok((self.hard_state, self.entries)),
        }
    }
}
