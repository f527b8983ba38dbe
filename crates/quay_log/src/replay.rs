//! Rebuilds the content of a log by replaying its records in order.

use {
    crate::{HardState, LogEntry, Record},
    quay_types::{Epoch, LogIndex},
    std::fmt,
};

/// A gap in the entries of a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplayError {
    /// Highest index that would have been contiguous.
    pub expected: LogIndex,
    /// Index of the entry found instead.
    pub found: LogIndex,
}

impl fmt::Display for ReplayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "gap before entry {}: expected index {} or lower",
            self.found, self.expected
        )
    }
}

/// The state of a replay.
#[derive(Debug, Clone, Default)]
pub struct Replay {
    /// Index and term of the last entry covered by the snapshot.
    covered: (LogIndex, Epoch),
    hard_state: HardState,
    /// Entries so far, contiguous.
    entries: Vec<LogEntry>,
}

impl Replay {
    /// Starts a replay on top of a snapshot that covers the entries up to the
    /// given index and term.
    #[must_use]
    pub fn new(index: LogIndex, term: Epoch) -> Self {
        Self {
            covered: (index, term),
            ..Self::default()
        }
    }

    /// Applies the next record.
    ///
    /// # Errors
    ///
    /// If entries are missing before the given one.
    pub fn push(&mut self, record: Record) -> Result<(), ReplayError> {
        match record {
            Record::HardState(hard_state) => self.hard_state = hard_state,
            Record::Reset => self.entries.clear(),
            Record::Entry { index, term, body } => {
                self.truncate_from(index)?;
                self.entries.push(LogEntry { index, term, body });
            }
        }
        Ok(())
    }

    /// Removes the entries that an entry at `index` replaces.
    fn truncate_from(&mut self, index: LogIndex) -> Result<(), ReplayError> {
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
            // The snapshot covers the entries in the gap.
            _ => self.entries.clear(),
        }
        Ok(())
    }

    /// Returns the latest term and vote, and the entries after the snapshot.
    ///
    /// # Errors
    ///
    /// If entries are missing between the snapshot and the first entry.
    pub fn finish(mut self) -> Result<(HardState, Vec<LogEntry>), ReplayError> {
        let (covered, term) = self.covered;
        let at_snapshot = self.entries.iter().find(|entry| entry.index == covered);
        if at_snapshot.is_some_and(|entry| entry.term != term) {
            // The snapshot came from another leader, whose log supersedes
            // these entries.
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
