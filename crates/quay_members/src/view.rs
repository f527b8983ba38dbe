//! The directory as a reader holds it.

use {
    crate::{Changes, ChangesRequest, CompactLoad, FailureReport, Slot},
    indexmap::{IndexMap, IndexSet},
    quay_types::{Announcement, DirectoryEntry, Time, UpstreamId},
};

/// Complaints that wait for the next read.
const MAX_FAILURE_REPORTS: usize = 32;

/// A line as it was told.
#[derive(Debug, Clone)]
struct Told {
    announcement: Announcement,
    load: CompactLoad,
}

/// Lines by slot.
type Lines = IndexMap<Slot, Told>;

/// A reader's copy of one host's directory.
///
/// When the reader turns to another host, or the host has restarted, the copy
/// that was held is used until the new one is complete: a directory that is
/// still being announced to must not take upstreams away.
#[derive(Debug, Default)]
pub struct DirectoryView {
    /// Run of the host that is read.
    run: u64,
    announced: u64,
    version: u64,
    lines: Lines,
    /// The last complete copy, while `lines` is not complete.
    earlier: Option<Lines>,
    failure_reports: Vec<FailureReport>,
    /// When the last answer came.
    heard: Time,
    more: bool,
}

impl DirectoryView {
    /// The question for the next read. Takes the failure reports along.
    pub fn next_request(&mut self, reader: u64) -> ChangesRequest {
        ChangesRequest {
            reader,
            run: self.run,
            announced: self.announced,
            version: self.version,
            failure_reports: std::mem::take(&mut self.failure_reports).into(),
        }
    }

    /// Notes that requests to an upstream fail.
    pub fn report_failure(&mut self, report: FailureReport) {
        if self.failure_reports.len() < MAX_FAILURE_REPORTS
            && !self.failure_reports.contains(&report)
        {
            self.failure_reports.push(report);
        }
    }

    /// Takes an answer; `false` if it does not follow on what is held.
    pub fn apply(&mut self, now: Time, changes: Changes) -> bool {
        let follows = changes.run == self.run
            && changes.announced >= self.announced
            && changes.version >= self.version;
        if !changes.reset && !follows {
            return false;
        }
        if changes.reset {
            let held = std::mem::take(&mut self.lines);
            self.earlier.get_or_insert(held);
            self.run = changes.run;
        }
        for slot in &changes.removed {
            self.lines.shift_remove(slot);
        }
        for line in changes.full {
            let told = Told {
                announcement: line.announcement,
                load: line.load,
            };
            self.lines.insert(line.slot, told);
        }
        for (slot, load) in changes.loads {
            if let Some(told) = self.lines.get_mut(&slot) {
                told.load = load;
            }
        }
        if changes.complete && !changes.more {
            self.earlier = None;
        }
        self.announced = changes.announced;
        self.version = changes.version;
        self.more = changes.more;
        self.heard = now;
        true
    }

    /// Whether the last answer was cut short.
    #[must_use]
    pub const fn has_more(&self) -> bool {
        self.more
    }

    /// Whether the copy is that of a host that knows every live sidecar.
    #[must_use]
    pub const fn complete(&self) -> bool {
        self.earlier.is_none() && self.run != 0
    }

    /// Every line, as routing takes it.
    ///
    /// A load that the host did not send again has not changed, so its age is
    /// counted from the last answer.
    #[must_use]
    pub fn entries(&self, now: Time) -> Box<[DirectoryEntry]> {
        let silence = now.since(self.heard).as_millis();
        let silence = u32::try_from(silence).unwrap_or(u32::MAX);
        let mut entries: Vec<_> = self
            .lines
            .values()
            .map(|told| told.entry(silence))
            .collect();
        if let Some(earlier) = &self.earlier {
            let known: IndexSet<_> = self.lines.values().map(Told::upstream).collect();
            let kept = earlier
                .values()
                .filter(|told| !known.contains(&told.upstream()));
            entries.extend(kept.map(|told| told.entry(silence)));
        }
        entries.into()
    }
}

impl Told {
    /// Key of the upstream.
    fn upstream(&self) -> UpstreamId {
        self.announcement.upstream()
    }

    /// The line as routing takes it.
    fn entry(&self, silence_ms: u32) -> DirectoryEntry {
        let mut announcement = self.announcement.clone();
        announcement.state = self.load.state;
        announcement.load = self.load.load();
        let age_ms = announcement.load.age_ms.saturating_add(silence_ms);
        DirectoryEntry {
            announcement,
            age_ms,
        }
    }
}
