//! Indexes of the groups of which one store holds records.

use {
    crate::{Record, RecordLocation, StoreIndex, StoreIndexSettings},
    indexmap::IndexMap,
    quay_types::{GroupId, ProgramTag, Time},
};

/// Indexes of the groups of which one store holds records. The records of all
/// groups are in the same segments.
#[derive(Debug, Default)]
pub struct StoreIndexes {
    cfg: StoreIndexSettings,
    groups: IndexMap<GroupId, StoreIndex>,
    /// Index of a group without records.
    empty: StoreIndex,
}

impl StoreIndexes {
    /// Creates indexes without records.
    #[must_use]
    pub fn new(cfg: StoreIndexSettings) -> Self {
        Self {
            cfg,
            groups: IndexMap::new(),
            empty: StoreIndex::new(cfg),
        }
    }

    /// Adds a record of a group that has been synced to disk at `location`.
    pub fn insert(&mut self, now: Time, group: GroupId, record: &Record, location: RecordLocation) {
        let index = self.groups.entry(group);
        let index = index.or_insert_with(|| StoreIndex::new(self.cfg));
        index.insert(now, record, location);
    }

    /// Extends the expiry of the charges of programs of a group; see
    /// [`StoreIndex::keep_charges`].
    pub fn keep_charges(&mut self, now: Time, group: GroupId, programs: &[ProgramTag]) {
        if let Some(index) = self.groups.get_mut(&group) {
            index.keep_charges(now, programs);
        }
    }

    /// The index of a group.
    #[must_use]
    pub fn group(&self, group: GroupId) -> &StoreIndex {
        self.groups.get(&group).unwrap_or(&self.empty)
    }

    /// Latest join for which the store is whole, for each group in which it is.
    #[must_use]
    pub fn whole_epochs(&self) -> Vec<(GroupId, u64)> {
        let epochs = self
            .groups
            .iter()
            .map(|(group, index)| (*group, index.whole_epoch()));
        epochs.filter(|(_, epoch)| *epoch > 0).collect()
    }

    /// Number of turns that the store holds in all groups.
    #[must_use]
    pub fn turn_count(&self) -> usize {
        self.groups.values().map(StoreIndex::turn_count).sum()
    }

    /// Groups of which the store lacks turns that others continue from.
    #[must_use]
    pub fn groups_with_missing_turns(&self) -> Vec<GroupId> {
        let groups = self.groups.iter();
        let groups = groups.filter(|(_, index)| index.missing_turns().len() > 0);
        groups.map(|(group, _)| *group).collect()
    }

    /// Number of turns that the store lacks in all groups.
    #[must_use]
    pub fn missing_count(&self) -> usize {
        let groups = self.groups.values();
        groups.map(|index| index.missing_turns().len()).sum()
    }

    /// Removes expired entries. Returns the segments before `open_segment` in
    /// which the records of all groups have expired, so that their files can be
    /// deleted.
    pub fn expire(&mut self, now: Time, open_segment: u64) -> Vec<u64> {
        let mut empty = Vec::new();
        for index in self.groups.values_mut() {
            empty.extend(index.expire(now, open_segment));
        }
        empty.sort_unstable();
        empty.dedup();
        empty.retain(|segment| {
            let mut others = self.groups.values();
            !others.any(|index| index.uses_segment(*segment))
        });
        empty
    }
}
