//! The part of the log that a replica keeps in memory.

use {
    crate::{Entry, Membership, Payload, Position, SnapshotMeta},
    quay_types::{Epoch, LogIndex},
    std::collections::VecDeque,
};

/// Log entries after the latest snapshot, and some earlier ones retained for
/// followers that lag.
#[derive(Debug, Clone, Default)]
pub struct MemoryLog {
    /// Position of the last compacted entry, directly before the first retained
    /// one.
    base: Position,
    /// Contiguous entries after `base`; terms never decrease.
    entries: VecDeque<Entry>,
    /// For each entry, the size in bytes of all entries that were appended up to it, from
    /// an arbitrary start on.
    ends: VecDeque<u64>,
    /// Memberships with the index of the entry that set each; the first one is
    /// in force at `base`.
    members: Vec<(LogIndex, Membership)>,
}

impl MemoryLog {
    /// Creates the log of the entries that follow a snapshot.
    pub fn new(meta: SnapshotMeta, entries: impl IntoIterator<Item = Entry>) -> Self {
        let mut log = Self {
            base: meta.position,
            entries: VecDeque::new(),
            ends: VecDeque::new(),
            members: vec![(meta.position.index, meta.members)],
        };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    /// Position of the last compacted entry.
    pub const fn base(&self) -> Position {
        self.base
    }

    /// Position of the last entry, or `base` if there are no entries.
    pub fn last(&self) -> Position {
        self.entries
            .back()
            .map_or(self.base, |entry| entry.position)
    }

    /// Offset of a log index in `entries`.
    fn offset(&self, index: LogIndex) -> Option<usize> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        usize::try_from(offset).ok()
    }

    /// Size of the entries after an index, in bytes.
    pub fn bytes_after(&self, index: LogIndex) -> u64 {
        let (Some(first), Some(all)) = (self.entries.front(), self.ends.back()) else {
            return 0;
        };
        let end = match self.offset(index) {
            Some(offset) => self.ends.get(offset).unwrap_or(all),
            None => return all - (self.ends[0] - first.bytes() as u64),
        };
        all - end
    }

    /// The last entry up to `through` after which, up to there, come at most `bytes` bytes;
    /// the base of the log if all retained ones are that small.
    pub fn last_before_bytes(&self, through: LogIndex, bytes: u64) -> LogIndex {
        let end = self
            .offset(through)
            .and_then(|offset| self.ends.get(offset));
        let (Some(end), Some(first)) = (end, self.entries.front()) else {
            return self.base.index;
        };
        let start = self.ends[0] - first.bytes() as u64;
        if end - start <= bytes {
            return self.base.index;
        }
        let before = self.ends.partition_point(|it| end - it.min(end) > bytes);
        LogIndex(self.base.index.0 + 1 + before as u64)
    }

    /// Returns the entry at an index, if retained.
    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        self.entries.get(self.offset(index)?)
    }

    /// Returns the term at an index; `None` if the entry is compacted or beyond
    /// the end of the log.
    pub fn term(&self, index: LogIndex) -> Option<Epoch> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.position.term)
    }

    /// Appends the next entry.
    pub fn push(&mut self, entry: Entry) {
        let last = self.last();
        assert!(
            entry.index().0 == last.index.0 + 1,
            "log entries must be contiguous"
        );
        assert!(
            entry.position.term >= last.term,
            "terms must not decrease within a log"
        );
        if let Payload::Members(members) = &entry.payload {
            self.members.push((entry.index(), members.clone()));
        }
        let before = self.ends.back().copied().unwrap_or(0);
        self.ends.push_back(before + entry.bytes() as u64);
        self.entries.push_back(entry);
    }

    /// Removes all entries from an index on.
    pub fn truncate(&mut self, from: LogIndex) {
        if let Some(offset) = self.offset(from) {
            self.entries.truncate(offset);
            self.ends.truncate(offset);
        }
        self.members
            .retain(|(index, _)| *index < from || *index <= self.base.index);
    }

    /// Copies the entries after `after` up to and including `through`, limited
    /// to `bytes` bytes in total. The first entry is returned whatever its
    /// size.
    pub fn range(&self, after: LogIndex, through: LogIndex, bytes: usize) -> Vec<Entry> {
        let mut taken = Vec::new();
        let mut size = 0;
        let mut index = LogIndex(after.0 + 1);
        while index <= through {
            let Some(entry) = self.get(index) else { break };
            size += entry.bytes();
            if !taken.is_empty() && size > bytes {
                break;
            }
            taken.push(entry.clone());
            index.0 += 1;
        }
        taken
    }

    /// Returns the first retained index of the run of entries with the same
    /// term as `index`.
    pub fn first_of_term(&self, index: LogIndex) -> LogIndex {
        let term = self.term(index);
        let mut first = index;
        while first.0 > self.base.index.0 + 1 && self.term(LogIndex(first.0 - 1)) == term {
            first.0 -= 1;
        }
        first
    }

    /// Returns the latest membership, committed or not, and the index of the
    /// entry that set it.
    pub fn members(&self) -> (LogIndex, &Membership) {
        let (index, members) = &self.members[self.members.len() - 1];
        (*index, members)
    }

    /// Returns the membership in force at an index.
    pub fn members_at(&self, index: LogIndex) -> &Membership {
        let latest = self
            .members
            .iter()
            .rev()
            .find(|(set_at, _)| *set_at <= index);
        &latest.unwrap_or(&self.members[0]).1
    }

    /// Removes the entries up to and including `through`.
    pub fn compact(&mut self, through: LogIndex) {
        let Some(term) = self.term(through) else {
            return;
        };
        let members = self.members_at(through).clone();
        while self
            .entries
            .front()
            .is_some_and(|entry| entry.index() <= through)
        {
            self.entries.pop_front();
            self.ends.pop_front();
        }
        self.base = Position {
            term,
            index: through,
        };
        self.members.retain(|(index, _)| *index > through);
        self.members.insert(0, (through, members));
    }
}
