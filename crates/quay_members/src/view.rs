//! A reader's copy of the directory.

use {
    crate::{Changes, ChangesRequest, CompactLoad, FailureReport, Slot},
    indexmap::{IndexMap, IndexSet},
    quay_types::{Announcement, DirectoryEntry, Time, UpstreamId},
};

/// Maximum number of failure reports that are kept until the next read.
const MAX_FAILURE_REPORTS: usize = 32;

/// An entry as received from the host.
#[derive(Debug, Clone)]
struct ViewEntry {
    announcement: Announcement,
    load: CompactLoad,
}

/// Entries by slot.
type Entries = IndexMap<Slot, ViewEntry>;

/// A reader's copy of one host's directory.
///
/// When the reader switches to another host, or the host restarts, the entries of
/// the copies before remain in use until the new one is complete. Otherwise a
/// directory to which not all sidecars have announced themselves yet would remove
/// live upstreams.
#[derive(Debug, Default)]
pub struct DirectoryView {
    /// Run of the host that the copy was read from.
    run: u64,
    announced: u64,
    version: u64,
    entries: Entries,
    /// Entries of the copies since the last complete one, while `entries` is incomplete;
    /// of an upstream the latest.
    previous: Option<IndexMap<UpstreamId, ViewEntry>>,
    failure_reports: Vec<FailureReport>,
    /// Time at which the last reply arrived.
    last_reply: Time,
    has_more: bool,
}

impl DirectoryView {
    /// Creates the next request, which carries the pending failure reports.
    pub fn next_request(&mut self, reader: u64) -> ChangesRequest {
        ChangesRequest {
            reader,
            run: self.run,
            announced: self.announced,
            version: self.version,
            failure_reports: std::mem::take(&mut self.failure_reports).into(),
        }
    }

    /// Records a failure report for the next request.
    pub fn report_failure(&mut self, report: FailureReport) {
        if self.failure_reports.len() < MAX_FAILURE_REPORTS
            && !self.failure_reports.contains(&report)
        {
            self.failure_reports.push(report);
        }
    }

    /// Applies a reply. Returns `false` if the reply does not continue from the
    /// copy held.
    pub fn apply(&mut self, now: Time, changes: Changes) -> bool {
        let continues_copy = changes.run == self.run
            && changes.announced >= self.announced
            && changes.version >= self.version;
        if !changes.reset && !continues_copy {
            return false;
        }
        if changes.reset {
            let held = std::mem::take(&mut self.entries).into_values();
            let previous = self.previous.get_or_insert_default();
            previous.extend(held.map(|entry| (entry.upstream(), entry)));
            self.run = changes.run;
        }
        for slot in &changes.removed {
            self.entries.shift_remove(slot);
        }
        for full in changes.full {
            let entry = ViewEntry {
                announcement: full.announcement,
                load: full.load,
            };
            self.entries.insert(full.slot, entry);
        }
        for (slot, load) in changes.loads {
            if let Some(entry) = self.entries.get_mut(&slot) {
                entry.load = load;
            }
        }
        if changes.complete && !changes.more {
            self.previous = None;
        }
        self.announced = changes.announced;
        self.version = changes.version;
        self.has_more = changes.more;
        self.last_reply = now;
        true
    }

    /// Whether the last reply left changes to be read.
    #[must_use]
    pub const fn has_more(&self) -> bool {
        self.has_more
    }

    /// Whether the copy comes from a host that knows every live sidecar.
    #[must_use]
    pub const fn complete(&self) -> bool {
        self.previous.is_none() && self.run != 0
    }

    /// Returns all entries in the form that routing uses.
    ///
    /// A load that the host did not send again has not changed, so its age is
    /// counted from the last reply.
    #[must_use]
    pub fn entries(&self, now: Time) -> Box<[DirectoryEntry]> {
        let silence = now.since(self.last_reply).as_millis();
        let silence = u32::try_from(silence).unwrap_or(u32::MAX);
        let mut entries: Vec<_> = self
            .entries
            .values()
            .map(|entry| entry.to_directory_entry(silence))
            .collect();
        if let Some(previous) = &self.previous {
            let known: IndexSet<_> = self.entries.values().map(ViewEntry::upstream).collect();
            let kept = previous.iter().filter(|(id, _)| !known.contains(*id));
            entries.extend(kept.map(|(_, entry)| entry.to_directory_entry(silence)));
        }
        entries.into()
    }
}

impl ViewEntry {
    /// Identifier of the upstream.
    fn upstream(&self) -> UpstreamId {
        self.announcement.upstream()
    }

    /// Converts to the form that routing uses, with the age increased by
    /// `silence_ms`.
    fn to_directory_entry(&self, silence_ms: u32) -> DirectoryEntry {
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
