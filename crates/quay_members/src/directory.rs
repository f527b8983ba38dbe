//! The directory of upstreams on one host.

use {
    crate::{
        Changes, ChangesRequest, CompactLoad, FullEntry, Heartbeat, MembersReply, MembersRequest,
        MembersSettings, Slot, Suspicion, entry::Entry,
    },
    indexmap::{IndexMap, IndexSet},
    quay_types::{Announcement, Incarnation, Load, Time, UpstreamId, UpstreamKind, UpstreamState},
    std::collections::VecDeque,
};

/// Maximum number of tombstones of removed entries. Tombstones tell readers of
/// the removal and keep a delayed announcement from restoring the entry.
const MAX_TOMBSTONES: usize = 4_096;

/// Directory of upstreams, held in memory and rebuilt from announcements after
/// a restart.
#[derive(Debug)]
pub struct Directory {
    settings: MembersSettings,
    /// Time at which this run of the host started.
    started: Time,
    /// Identifier of this run of the host. Versions are comparable only within
    /// one run.
    run: u64,
    /// Incremented with each change that readers must receive.
    version: u64,
    /// Entries by slot; `None` marks a free slot.
    entries: Vec<Option<Entry>>,
    /// Free slots; the last one is reused first.
    free: Vec<Slot>,
    /// Slot of each upstream.
    slots: IndexMap<UpstreamId, Slot>,
    /// Upstreams that an operator has marked as draining.
    drained: IndexSet<UpstreamId>,
    /// Slots of removed entries with the version of the removal, oldest first.
    removed: VecDeque<(u64, Slot)>,
    /// Readers whose version is lower must read the whole directory, since
    /// older removals are no longer recorded.
    oldest_complete_version: u64,
    /// Last incarnation and sequence of removed upstreams.
    tombstones: IndexMap<UpstreamId, (Incarnation, u64)>,
}

/// State of one upstream, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    /// Latest announcement of the upstream.
    pub announcement: Announcement,
    /// State that readers receive.
    pub state: UpstreamState,
    /// Reason for which the upstream is suspected, if any.
    pub suspicion: Option<Suspicion>,
    /// Milliseconds since the last announcement or heartbeat.
    pub age_ms: u64,
}

impl Directory {
    /// Creates an empty directory. `run` must not be 0 and must differ from
    /// that of every earlier run.
    #[must_use]
    pub fn new(now: Time, run: u64, settings: MembersSettings) -> Self {
        Self {
            settings,
            started: now,
            run,
            version: 0,
            entries: Vec::new(),
            free: Vec::new(),
            slots: IndexMap::new(),
            drained: IndexSet::new(),
            removed: VecDeque::new(),
            oldest_complete_version: 0,
            tombstones: IndexMap::new(),
        }
    }

    /// Identifier of this run of the host.
    #[must_use]
    pub const fn run(&self) -> u64 {
        self.run
    }

    /// Number of upstreams in the directory.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether the directory holds no upstream.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Handles a request and returns the reply.
    pub fn handle(&mut self, now: Time, req: MembersRequest) -> MembersReply {
        match req {
            MembersRequest::Announce(announcement) => self.announce(now, *announcement),
            MembersRequest::Heartbeat(heartbeat) => self.heartbeat(now, &heartbeat),
            MembersRequest::Changes(req) => MembersReply::Changes(self.changes(now, &req)),
        }
    }

    // -----------------------------------------------------------------------
    // Sidecars

    /// Processes a full announcement.
    pub fn announce(&mut self, now: Time, announcement: Announcement) -> MembersReply {
        let id = announcement.upstream();
        let (incarnation, sequence) = (announcement.incarnation, announcement.sequence);
        if let Some(reply) = self.outdated(id, incarnation, sequence) {
            return reply;
        }
        let slot = match self.slots.get(&id).copied() {
            Some(slot) => slot,
            None if self.slots.len() >= usize::from(self.settings.capacity) => {
                return MembersReply::Full;
            }
            None => self.allocate_slot(id),
        };
        let occupant = &mut self.entries[usize::from(slot.0)];
        match occupant {
            Some(entry) if entry.announcement.incarnation == incarnation => {
                entry.record_message(now, sequence, None);
                entry.announcement = announcement;
            }
            _ => {
                let earlier = occupant
                    .as_ref()
                    .map(|entry| entry.announcement.incarnation);
                assert!(earlier < Some(incarnation), "the incarnation must increase");
                *occupant = Some(Entry::new(now, announcement));
            }
        }
        self.tombstones.shift_remove(&id);
        self.version += 1;
        let version = self.version;
        if let Some(entry) = &mut self.entries[usize::from(slot.0)] {
            entry.full_version = version;
            entry.version = version;
        }
        self.refresh(now, slot);
        MembersReply::Acknowledged(sequence)
    }

    /// Processes a heartbeat.
    pub fn heartbeat(&mut self, now: Time, heartbeat: &Heartbeat) -> MembersReply {
        let id = heartbeat.upstream;
        if let Some(reply) = self.outdated(id, heartbeat.incarnation, heartbeat.sequence) {
            return reply;
        }
        let Some(slot) = self.slots.get(&id).copied() else {
            return MembersReply::Unknown;
        };
        let Some(entry) = &mut self.entries[usize::from(slot.0)] else {
            return MembersReply::Unknown;
        };
        if entry.announcement.incarnation != heartbeat.incarnation {
            return MembersReply::Unknown;
        }
        entry.record_message(now, heartbeat.sequence, Some(heartbeat.acked));
        entry.announcement.state = heartbeat.state;
        entry.announcement.load = heartbeat.load;
        self.refresh(now, slot);
        MembersReply::Acknowledged(heartbeat.sequence)
    }

    /// Returns the reply to an outdated message: one of an earlier incarnation,
    /// or one whose sequence was already received.
    fn outdated(
        &self,
        id: UpstreamId,
        incarnation: Incarnation,
        sequence: u64,
    ) -> Option<MembersReply> {
        let live = self.slots.get(&id).and_then(|slot| self.entry(*slot));
        let known = live.map(|entry| {
            let announcement = &entry.announcement;
            (announcement.incarnation, announcement.sequence)
        });
        let (known_run, known_sequence) = known.or_else(|| self.tombstones.get(&id).copied())?;
        if incarnation < known_run {
            Some(MembersReply::Superseded)
        } else if incarnation == known_run && sequence <= known_sequence {
            Some(MembersReply::Acknowledged(known_sequence))
        } else {
            None
        }
    }

    /// Allocates a slot for an upstream.
    fn allocate_slot(&mut self, id: UpstreamId) -> Slot {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.entries.push(None);
            Slot(u16::try_from(self.entries.len() - 1).unwrap_or(u16::MAX))
        });
        self.slots.insert(id, slot);
        slot
    }

    // -----------------------------------------------------------------------
    // Operators and time

    /// Sets the upstreams that are marked as draining.
    pub fn set_drained(&mut self, now: Time, drained: IndexSet<UpstreamId>) {
        self.drained = drained;
        self.refresh_all(now);
    }

    /// Updates suspicions and removes entries whose lease has expired.
    pub fn tick(&mut self, now: Time) {
        let lease = self.settings.lease;
        let expired: Vec<_> = self
            .slots
            .iter()
            .filter(|(_, slot)| {
                self.entry(**slot)
                    .is_none_or(|entry| entry.lease_expired(now, lease))
            })
            .map(|(id, slot)| (*id, *slot))
            .collect();
        for (id, slot) in expired {
            self.remove_entry(now, id, slot);
        }
        self.refresh_all(now);
    }

    /// Removes an entry whose lease has expired.
    fn remove_entry(&mut self, now: Time, id: UpstreamId, slot: Slot) {
        self.version += 1;
        self.slots.shift_remove(&id);
        if let Some(entry) = self.entries[usize::from(slot.0)].take() {
            assert!(
                entry.lease_expired(now, self.settings.lease),
                "the lease of a removed entry must have expired"
            );
            let announcement = &entry.announcement;
            let last = (announcement.incarnation, announcement.sequence);
            self.tombstones.insert(id, last);
        }
        self.free.push(slot);
        self.removed.push_back((self.version, slot));
        if self.removed.len() > MAX_TOMBSTONES
            && let Some((version, _)) = self.removed.pop_front()
        {
            self.oldest_complete_version = version;
        }
        if self.tombstones.len() > MAX_TOMBSTONES {
            self.tombstones.shift_remove_index(0);
        }
    }

    /// Kinds of all upstreams.
    pub fn kinds(&self) -> impl Iterator<Item = &UpstreamKind> {
        let entries = self.slots.values().filter_map(|slot| self.entry(*slot));
        entries.map(|entry| &entry.announcement.kind)
    }

    /// Lists all upstreams, for operators.
    #[must_use]
    pub fn members(&self, now: Time) -> Vec<MemberStatus> {
        let entries = self.slots.values().filter_map(|slot| self.entry(*slot));
        entries
            .map(|entry| MemberStatus {
                announcement: entry.announcement.clone(),
                state: entry.published.state,
                suspicion: entry.suspicion(now, &self.settings),
                age_ms: u64::try_from(now.since(entry.last_heard).as_millis()).unwrap_or(u64::MAX),
            })
            .collect()
    }

    // -----------------------------------------------------------------------
    // Readers

    /// Records a reader's failure reports and returns the changes since the
    /// versions that the reader holds.
    pub fn changes(&mut self, now: Time, req: &ChangesRequest) -> Changes {
        self.record_failure_reports(now, req);
        let reset = req.run != self.run || req.announced < self.oldest_complete_version;
        let (known, since) = if reset {
            // Every entry is sent in full, with its current load.
            (0, self.version)
        } else {
            (req.announced, req.version)
        };
        let (full, announced) = self.announced_since(known);
        // Loads are sent only after all announcements: sending both at once
        // would exceed the network share of a reader that starts.
        let (loads, version) = if announced < self.version {
            (Vec::new(), since)
        } else {
            self.loads_since(known, since)
        };
        let full = full.into_iter().filter_map(|slot| {
            let entry = self.entry(slot)?;
            Some(FullEntry {
                slot,
                announcement: without_load(&entry.announcement),
                load: load_with_age(now, entry),
            })
        });
        let loads = loads
            .into_iter()
            .filter_map(|slot| Some((slot, load_with_age(now, self.entry(slot)?))));
        Changes {
            run: self.run,
            announced,
            version,
            reset,
            more: announced < self.version || version < self.version,
            complete: now.since(self.started) >= self.settings.suspect_after(),
            removed: self.removed_since(known, announced),
            full: full.collect(),
            loads: loads.collect(),
        }
    }

    /// Entries announced after version `known`, limited to the size of one
    /// reply, and the version up to which the result is complete.
    fn announced_since(&self, known: u64) -> (Vec<Slot>, u64) {
        self.oldest(self.settings.max_full_entries, |entry| {
            (entry.full_version > known).then_some(entry.full_version)
        })
    }

    /// Entries that the reader holds at version `known` and whose load changed
    /// after version `since`, and the version up to which the result is
    /// complete. Other entries are sent in full, together with their load.
    fn loads_since(&self, known: u64, since: u64) -> (Vec<Slot>, u64) {
        self.oldest(self.settings.max_entries, |entry| {
            let changed = entry.full_version <= known && entry.version > since;
            changed.then_some(entry.version)
        })
    }

    /// Up to `limit` entries with the lowest versions, and the version up to
    /// which the result is complete.
    fn oldest(&self, limit: usize, version: impl Fn(&Entry) -> Option<u64>) -> (Vec<Slot>, u64) {
        let entries = self.slots.values();
        let mut chosen: Vec<_> = entries
            .filter_map(|slot| Some((version(self.entry(*slot)?)?, *slot)))
            .collect();
        chosen.sort_unstable();
        let complete = chosen.len() <= limit;
        chosen.truncate(limit);
        let last = chosen.last().map_or(0, |(version, _)| *version);
        let slots = chosen.into_iter().map(|(_, slot)| slot).collect();
        (slots, if complete { self.version } else { last })
    }

    /// Slots whose entry was removed after version `known`. A reused slot is
    /// left out, since its new entry replaces the old one, unless the new entry
    /// is sent in a later reply.
    fn removed_since(&self, known: u64, announced: u64) -> Box<[Slot]> {
        let removed = self.removed.iter().filter(|(at, _)| *at > known);
        let slots = removed.map(|(_, slot)| *slot);
        let empty = slots.filter(|slot| {
            let entry = self.entry(*slot);
            entry.is_none_or(|entry| entry.full_version > announced)
        });
        empty.collect::<IndexSet<_>>().into_iter().collect()
    }

    /// Records a reader's failure reports.
    fn record_failure_reports(&mut self, now: Time, req: &ChangesRequest) {
        for report in &req.failure_reports {
            let Some(slot) = self.slots.get(&report.upstream).copied() else {
                continue;
            };
            if let Some(entry) = &mut self.entries[usize::from(slot.0)]
                && entry.announcement.incarnation == report.incarnation
            {
                entry.report_failure(now, req.reader, &self.settings);
                self.refresh(now, slot);
            }
        }
    }

    // -----------------------------------------------------------------------
    // Entries

    /// Entry in a slot.
    fn entry(&self, slot: Slot) -> Option<&Entry> {
        self.entries.get(usize::from(slot.0))?.as_ref()
    }

    /// Updates the state and load that readers receive, and increments the
    /// entry's version if they changed.
    fn refresh(&mut self, now: Time, slot: Slot) {
        let Some(Some(entry)) = self.entries.get_mut(usize::from(slot.0)) else {
            return;
        };
        let drained = self.drained.contains(&entry.announcement.upstream());
        let current = entry.current_load(now, drained, &self.settings);
        if entry.version > 0 && current.same_load(&entry.published) {
            return;
        }
        entry.published = current;
        self.version += 1;
        entry.version = self.version;
    }

    /// Updates the state and load that readers receive for every entry.
    fn refresh_all(&mut self, now: Time) {
        for index in 0..self.slots.len() {
            if let Some((_, slot)) = self.slots.get_index(index) {
                self.refresh(now, *slot);
            }
        }
    }
}

/// Returns an announcement without the load and sequence; the load is sent as a
/// [`CompactLoad`].
fn without_load(announcement: &Announcement) -> Announcement {
    Announcement {
        load: Load::default(),
        sequence: 0,
        ..announcement.clone()
    }
}

/// Load of an entry with its current age.
fn load_with_age(now: Time, entry: &Entry) -> CompactLoad {
    let report_ms = entry.announcement.load.age_ms;
    let heard_ms = u32::try_from(now.since(entry.last_heard).as_millis()).unwrap_or(u32::MAX);
    let age_ms = report_ms.saturating_add(heard_ms);
    let aged = Load {
        age_ms,
        ..Load::default()
    };
    CompactLoad {
        age: CompactLoad::of(entry.published.state, &aged).age,
        ..entry.published
    }
}
