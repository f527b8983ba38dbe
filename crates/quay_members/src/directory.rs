//! The directory as one host keeps it.

use {
    crate::{
        Changes, ChangesRequest, CompactLoad, FullEntry, Heartbeat, MembersReply, MembersRequest,
        MembersSettings, Slot, Suspicion, entry::Entry,
    },
    indexmap::{IndexMap, IndexSet},
    quay_types::{Announcement, Incarnation, Load, Time, UpstreamId, UpstreamState},
    std::collections::VecDeque,
};

/// Dropped lines that are remembered, so that readers hear of them and a
/// delayed announcement does not bring them back.
const MAX_GONE: usize = 4_096;

/// The directory of upstreams: soft state, rebuilt from announcements.
#[derive(Debug)]
pub struct Directory {
    settings: MembersSettings,
    /// When this run began.
    started: Time,
    /// Identity of this run of the host; versions are compared within it only.
    run: u64,
    /// Rises with each change that readers must hear of.
    version: u64,
    /// Lines by slot; an empty slot is free.
    lines: Vec<Option<Entry>>,
    /// Free slots, last freed first.
    free: Vec<Slot>,
    /// Slots by upstream.
    slots: IndexMap<UpstreamId, Slot>,
    /// Upstreams that an operator has marked to leave.
    drained: IndexSet<UpstreamId>,
    /// Dropped lines and the version that dropped them, oldest first.
    gone: VecDeque<(u64, Slot)>,
    /// Readers below this version must read everything.
    forgotten: u64,
    /// Last run and sequence of upstreams that were dropped.
    buried: IndexMap<UpstreamId, (Incarnation, u64)>,
}

/// One line for an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    /// Latest announcement.
    pub announcement: Announcement,
    /// State as readers are told.
    pub state: UpstreamState,
    /// Why it is not trusted.
    pub suspicion: Option<Suspicion>,
    /// Milliseconds since it was heard.
    pub age_ms: u64,
}

impl Directory {
    /// An empty directory; `run` must differ from all earlier runs and from 0.
    #[must_use]
    pub fn new(now: Time, run: u64, settings: MembersSettings) -> Self {
        Self {
            settings,
            started: now,
            run,
            version: 0,
            lines: Vec::new(),
            free: Vec::new(),
            slots: IndexMap::new(),
            drained: IndexSet::new(),
            gone: VecDeque::new(),
            forgotten: 0,
            buried: IndexMap::new(),
        }
    }

    /// Lines now.
    #[must_use]
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no upstream is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Answers a request.
    pub fn handle(&mut self, now: Time, req: MembersRequest) -> MembersReply {
        match req {
            MembersRequest::Announce(announcement) => self.announce(now, *announcement),
            MembersRequest::Heartbeat(heartbeat) => self.heartbeat(now, &heartbeat),
            MembersRequest::Changes(req) => MembersReply::Changes(self.changes(now, &req)),
        }
    }

    // -----------------------------------------------------------------------
    // Sidecars

    /// Takes a full announcement.
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
            None => self.allot(id),
        };
        let place = &mut self.lines[usize::from(slot.0)];
        match place {
            Some(line) if line.announcement.incarnation == incarnation => {
                line.hear(now, sequence, None);
                line.announcement = announcement;
            }
            _ => {
                let earlier = place.as_ref().map(|line| line.announcement.incarnation);
                assert!(earlier < Some(incarnation), "the incarnation fell");
                *place = Some(Entry::new(now, announcement));
            }
        }
        self.buried.shift_remove(&id);
        self.version += 1;
        let version = self.version;
        if let Some(line) = &mut self.lines[usize::from(slot.0)] {
            line.full_version = version;
            line.version = version;
        }
        self.retell(now, slot);
        MembersReply::Acknowledged(sequence)
    }

    /// Takes a short heartbeat.
    pub fn heartbeat(&mut self, now: Time, heartbeat: &Heartbeat) -> MembersReply {
        let id = heartbeat.upstream;
        if let Some(reply) = self.outdated(id, heartbeat.incarnation, heartbeat.sequence) {
            return reply;
        }
        let Some(slot) = self.slots.get(&id).copied() else {
            return MembersReply::Unknown;
        };
        let Some(line) = &mut self.lines[usize::from(slot.0)] else {
            return MembersReply::Unknown;
        };
        if line.announcement.incarnation != heartbeat.incarnation {
            return MembersReply::Unknown;
        }
        line.hear(now, heartbeat.sequence, Some(heartbeat.acked));
        line.announcement.state = heartbeat.state;
        line.announcement.load = heartbeat.load;
        self.retell(now, slot);
        MembersReply::Acknowledged(heartbeat.sequence)
    }

    /// The answer to word of a past run, or word that came before.
    fn outdated(
        &self,
        id: UpstreamId,
        incarnation: Incarnation,
        sequence: u64,
    ) -> Option<MembersReply> {
        let live = self.slots.get(&id).and_then(|slot| self.line(*slot));
        let known = live.map(|line| {
            let announcement = &line.announcement;
            (announcement.incarnation, announcement.sequence)
        });
        let (known_run, known_sequence) = known.or_else(|| self.buried.get(&id).copied())?;
        if incarnation < known_run {
            Some(MembersReply::Superseded)
        } else if incarnation == known_run && sequence <= known_sequence {
            Some(MembersReply::Acknowledged(known_sequence))
        } else {
            None
        }
    }

    /// Gives an upstream a slot.
    fn allot(&mut self, id: UpstreamId) -> Slot {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.lines.push(None);
            Slot(u16::try_from(self.lines.len() - 1).unwrap_or(u16::MAX))
        });
        self.slots.insert(id, slot);
        slot
    }

    // -----------------------------------------------------------------------
    // Operators and time

    /// Sets the upstreams that are marked to leave.
    pub fn set_drained(&mut self, now: Time, drained: IndexSet<UpstreamId>) {
        self.drained = drained;
        self.retell_all(now);
    }

    /// Suspects and drops lines that are due.
    pub fn tick(&mut self, now: Time) {
        let lease = self.settings.lease;
        let lapsed: Vec<_> = self
            .slots
            .iter()
            .filter(|(_, slot)| self.line(**slot).is_none_or(|line| line.lapsed(now, lease)))
            .map(|(id, slot)| (*id, *slot))
            .collect();
        for (id, slot) in lapsed {
            self.drop_line(now, id, slot);
        }
        self.retell_all(now);
    }

    /// Drops a line whose lease has ended.
    fn drop_line(&mut self, now: Time, id: UpstreamId, slot: Slot) {
        self.version += 1;
        self.slots.shift_remove(&id);
        if let Some(line) = self.lines[usize::from(slot.0)].take() {
            assert!(
                line.lapsed(now, self.settings.lease),
                "dropped under a lease"
            );
            let announcement = &line.announcement;
            let last = (announcement.incarnation, announcement.sequence);
            self.buried.insert(id, last);
        }
        self.free.push(slot);
        self.gone.push_back((self.version, slot));
        if self.gone.len() > MAX_GONE
            && let Some((version, _)) = self.gone.pop_front()
        {
            self.forgotten = version;
        }
        if self.buried.len() > MAX_GONE {
            self.buried.shift_remove_index(0);
        }
    }

    /// Every line, for an operator.
    #[must_use]
    pub fn members(&self, now: Time) -> Vec<MemberStatus> {
        let lines = self.slots.values().filter_map(|slot| self.line(*slot));
        lines
            .map(|line| MemberStatus {
                announcement: line.announcement.clone(),
                state: line.told.state,
                suspicion: line.suspicion(now, &self.settings),
                age_ms: u64::try_from(now.since(line.heard).as_millis()).unwrap_or(u64::MAX),
            })
            .collect()
    }

    // -----------------------------------------------------------------------
    // Readers

    /// What changed since a reader's version; takes its failure reports too.
    pub fn changes(&mut self, now: Time, req: &ChangesRequest) -> Changes {
        self.take_failure_reports(now, req);
        let reset = req.run != self.run || req.announced < self.forgotten;
        let (known, since) = if reset {
            // Every line is sent in full, with its load of that time.
            (0, self.version)
        } else {
            (req.announced, req.version)
        };
        let (full, announced) = self.announced_since(known);
        // While announcements are missing the loads wait: both at once would
        // take a starting reader over its share of the network.
        let (loads, version) = if announced < self.version {
            (Vec::new(), since)
        } else {
            self.loads_since(known, since)
        };
        let full = full.into_iter().filter_map(|slot| {
            let line = self.line(slot)?;
            Some(FullEntry {
                slot,
                announcement: bare(&line.announcement),
                load: aged(now, line),
            })
        });
        let loads = loads
            .into_iter()
            .filter_map(|slot| Some((slot, aged(now, self.line(slot)?))));
        Changes {
            run: self.run,
            announced,
            version,
            reset,
            more: announced < self.version || version < self.version,
            complete: now.since(self.started) >= self.settings.suspect_after(),
            removed: self.gone_since(known, announced),
            full: full.collect(),
            loads: loads.collect(),
        }
    }

    /// Lines that were announced after a version, as many as one answer may
    /// hold, and the version up to which these are all.
    fn announced_since(&self, known: u64) -> (Vec<Slot>, u64) {
        self.oldest(self.settings.max_full_entries, |line| {
            (line.full_version > known).then_some(line.full_version)
        })
    }

    /// Lines that the reader knows and whose load changed after a version. The
    /// others are sent in full, with the load of that time.
    fn loads_since(&self, known: u64, since: u64) -> (Vec<Slot>, u64) {
        self.oldest(self.settings.max_entries, |line| {
            let changed = line.full_version <= known && line.version > since;
            changed.then_some(line.version)
        })
    }

    /// The lines with the lowest versions, and the version up to which these
    /// are all.
    fn oldest(&self, limit: usize, version: impl Fn(&Entry) -> Option<u64>) -> (Vec<Slot>, u64) {
        let lines = self.slots.values();
        let mut chosen: Vec<_> = lines
            .filter_map(|slot| Some((version(self.line(*slot)?)?, *slot)))
            .collect();
        chosen.sort_unstable();
        let complete = chosen.len() <= limit;
        chosen.truncate(limit);
        let last = chosen.last().map_or(0, |(version, _)| *version);
        let slots = chosen.into_iter().map(|(_, slot)| slot).collect();
        (slots, if complete { self.version } else { last })
    }

    /// Slots whose line was dropped after a version. One that was given out
    /// again is replaced by its new line, unless that comes later.
    fn gone_since(&self, known: u64, announced: u64) -> Box<[Slot]> {
        let gone = self.gone.iter().filter(|(at, _)| *at > known);
        let slots = gone.map(|(_, slot)| *slot);
        let empty = slots.filter(|slot| {
            let line = self.line(*slot);
            line.is_none_or(|line| line.full_version > announced)
        });
        empty.collect::<IndexSet<_>>().into_iter().collect()
    }

    /// Notes what a reader complains of.
    fn take_failure_reports(&mut self, now: Time, req: &ChangesRequest) {
        for report in &req.failure_reports {
            let Some(slot) = self.slots.get(&report.upstream).copied() else {
                continue;
            };
            if let Some(line) = &mut self.lines[usize::from(slot.0)]
                && line.announcement.incarnation == report.incarnation
            {
                line.report_failure(now, req.reader, &self.settings);
                self.retell(now, slot);
            }
        }
    }

    // -----------------------------------------------------------------------
    // Lines

    /// The line in a slot.
    fn line(&self, slot: Slot) -> Option<&Entry> {
        self.lines.get(usize::from(slot.0))?.as_ref()
    }

    /// Gives a line a new version if readers would see a difference.
    fn retell(&mut self, now: Time, slot: Slot) {
        let Some(Some(line)) = self.lines.get_mut(usize::from(slot.0)) else {
            return;
        };
        let drained = self.drained.contains(&line.announcement.upstream());
        let view = line.view(now, drained, &self.settings);
        if line.version > 0 && view.same_load(&line.told) {
            return;
        }
        line.told = view;
        self.version += 1;
        line.version = self.version;
    }

    /// Does the same for every line.
    fn retell_all(&mut self, now: Time) {
        for index in 0..self.slots.len() {
            if let Some((_, slot)) = self.slots.get_index(index) {
                self.retell(now, *slot);
            }
        }
    }
}

/// An announcement without what is sent as a [`CompactLoad`].
fn bare(announcement: &Announcement) -> Announcement {
    Announcement {
        load: Load::default(),
        sequence: 0,
        ..announcement.clone()
    }
}

/// A line's load with its age.
fn aged(now: Time, line: &Entry) -> CompactLoad {
    let report_ms = line.announcement.load.age_ms;
    let heard_ms = u32::try_from(now.since(line.heard).as_millis()).unwrap_or(u32::MAX);
    let age_ms = report_ms.saturating_add(heard_ms);
    let aged = Load {
        age_ms,
        ..Load::default()
    };
    CompactLoad {
        age: CompactLoad::of(line.told.state, &aged).age,
        ..line.told
    }
}
