//! Entries that a replica keeps in memory.

use {
    crate::{Entry, Membership, Payload, Position, SnapshotMeta},
    quay_types::{Epoch, LogIndex},
    std::collections::VecDeque,
};

/// The part of the log behind the latest snapshot, and a little more.
#[derive(Debug, Clone, Default)]
pub struct MemoryLog {
    /// Entry before the first one that is kept.
    base: Position,
    /// Contiguous from `base` on; terms never fall.
    entries: VecDeque<Entry>,
    /// Members by the entry that set them; the first is in force at `base`.
    members: Vec<(LogIndex, Membership)>,
}

impl MemoryLog {
    /// The log behind a snapshot.
    pub fn new(meta: SnapshotMeta, entries: impl IntoIterator<Item = Entry>) -> Self {
        let mut log = Self {
            base: meta.position,
            entries: VecDeque::new(),
            members: vec![(meta.position.index, meta.members)],
        };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    /// The entry before the first one that is kept.
    pub const fn base(&self) -> Position {
        self.base
    }

    /// The last entry.
    pub fn last(&self) -> Position {
        self.entries
            .back()
            .map_or(self.base, |entry| entry.position)
    }

    /// Where an index stands in `entries`.
    fn slot(&self, index: LogIndex) -> Option<usize> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        usize::try_from(offset).ok()
    }

    /// The entry at an index.
    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        self.entries.get(self.slot(index)?)
    }

    /// The term at an index; `None` if the entry is not kept or not there.
    pub fn term(&self, index: LogIndex) -> Option<Epoch> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.position.term)
    }

    /// Adds the next entry.
    pub fn push(&mut self, entry: Entry) {
        let last = self.last();
        assert!(
            entry.index().0 == last.index.0 + 1,
            "entries are contiguous"
        );
        assert!(
            entry.position.term >= last.term,
            "terms never fall in a log"
        );
        if let Payload::Members(members) = &entry.payload {
            self.members.push((entry.index(), members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Drops the entries from an index on.
    pub fn truncate(&mut self, from: LogIndex) {
        if let Some(slot) = self.slot(from) {
            self.entries.truncate(slot);
        }
        self.members
            .retain(|(index, _)| *index < from || *index <= self.base.index);
    }

    /// Entries after `after` up to `through`, at most `bytes` but at least one.
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

    /// First index of the run of equal terms that `index` is in.
    pub fn first_of_term(&self, index: LogIndex) -> LogIndex {
        let term = self.term(index);
        let mut first = index;
        while first.0 > self.base.index.0 + 1 && self.term(LogIndex(first.0 - 1)) == term {
            first.0 -= 1;
        }
        first
    }

    /// Latest members, committed or not, and the entry that set them.
    pub fn members(&self) -> (LogIndex, &Membership) {
        let (index, members) = &self.members[self.members.len() - 1];
        (*index, members)
    }

    /// Members in force at an index.
    pub fn members_at(&self, index: LogIndex) -> &Membership {
        let held = self.members.iter().rev().find(|(at, _)| *at <= index);
        &held.unwrap_or(&self.members[0]).1
    }

    /// Forgets the entries up to `through`.
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
        }
        self.base = Position {
            term,
            index: through,
        };
        self.members.retain(|(index, _)| *index > through);
        self.members.insert(0, (through, members));
    }
}
