//! Requests that are suspected of crashing upstreams, as one front knows them.

use {
    crate::gateway::messages::SuspectList,
    quay_policy::{SuspectCommand, SuspectEvent, SuspectRegistry, SuspectSettings},
    quay_types::{ContentDigest, RequestContent, Time},
};

/// Maximum number of events that wait for the control group.
const MAX_PENDING: usize = 4_096;

/// Maximum number of events in one report.
const MAX_REPORTED: usize = 64;

/// The control group's list of suspects, together with this front's own events
/// that the group has not acknowledged. A front that is cut off from the group
/// goes on by what it knew and what it sees itself.
#[derive(Debug)]
pub struct FrontSuspects {
    /// Version of the group's list.
    version: u64,
    /// The group's list with the pending events applied.
    known: SuspectRegistry,
    /// Events that the group has not acknowledged, oldest first.
    pending: Vec<SuspectEvent>,
}

impl Default for FrontSuspects {
    fn default() -> Self {
        Self {
            version: 0,
            known: SuspectRegistry::new(SuspectSettings::default()),
            pending: Vec::new(),
        }
    }
}

impl FrontSuspects {
    /// Version of the group's list; 0 without one.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Replaces the group's list. `now` is the Unix time.
    pub fn set_list(&mut self, now: Time, list: SuspectList) {
        self.version = list.version;
        self.known = list.suspects;
        self.apply(now, self.pending.clone());
    }

    /// Records an event, to be applied and reported. Returns `false` if it was
    /// dropped, since too many wait for the control group.
    pub fn record(&mut self, now: Time, event: SuspectEvent) -> bool {
        self.apply(now, vec![event.clone()]);
        if self.pending.len() >= MAX_PENDING {
            return false;
        }
        self.pending.push(event);
        true
    }

    fn apply(&mut self, now: Time, events: Vec<SuspectEvent>) {
        let events = events.into();
        self.known
            .apply(&SuspectCommand::Observed { at: now, events });
    }

    /// Whether a request must not run. `now` is the Unix time.
    #[must_use]
    pub fn is_quarantined(&self, now: Time, content: impl Into<RequestContent>) -> bool {
        self.known.is_quarantined(now, content)
    }

    /// Whether a request may have to be quarantined with `more` crashes.
    #[must_use]
    pub fn may_be_quarantined_with(&self, content: impl Into<RequestContent>, more: usize) -> bool {
        self.known.may_be_quarantined_with(content, more)
    }

    /// Whether the completion of a request is to be recorded.
    #[must_use]
    pub fn is_suspect(&self, content: ContentDigest) -> bool {
        self.known.is_suspect(content)
    }

    /// Suspects that are a request under its present account or under another one that its
    /// caller may have had.
    #[must_use]
    pub fn suspects_of(&self, content: RequestContent) -> Vec<ContentDigest> {
        self.known.suspects_of(content).collect()
    }

    /// The next events to report, if any.
    #[must_use]
    pub fn next_report(&self) -> Option<Box<[SuspectEvent]>> {
        let events = &self.pending[..self.pending.len().min(MAX_REPORTED)];
        (!events.is_empty()).then(|| events.into())
    }

    /// Removes the oldest `count` events, which the group has acknowledged.
    pub fn acknowledge(&mut self, count: usize) {
        self.pending.drain(..count.min(self.pending.len()));
    }
}
