//! Directory entry of one upstream.

use {
    crate::{CompactLoad, MembersSettings},
    quay_types::{Announcement, Time, UpstreamState},
    std::time::Duration,
};

/// Reason for which an upstream is suspected although its lease has not
/// expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// More than [`MembersSettings::missed_heartbeats`] heartbeats are missing.
    Silent,
    /// Heartbeats arrive, but the replies do not reach the sidecar.
    OneWay,
    /// Readers report that requests to the upstream fail.
    FailureReports,
}

/// Maximum number of failure reports that are kept for one upstream.
const MAX_FAILURE_REPORTS: usize = 16;

/// Directory entry of one upstream.
#[derive(Debug)]
pub(crate) struct Entry {
    pub announcement: Announcement,
    /// Time of the last announcement or heartbeat.
    pub last_heard: Time,
    /// Consecutive heartbeats that did not acknowledge the previous reply.
    unheard_replies: u32,
    /// Readers that reported failures, with the time of the report, oldest
    /// first.
    failure_reports: Vec<(u64, Time)>,
    /// Time until which failure reports keep the upstream marked as failing.
    failing_until: Time,
    /// State and load that readers receive.
    pub published: CompactLoad,
    /// Version of the last change of the announcement.
    pub full_version: u64,
    /// Version of the last change of any part; at least `full_version`.
    pub version: u64,
}

impl Entry {
    /// Creates the entry of an upstream that was just announced.
    pub fn new(now: Time, announcement: Announcement) -> Self {
        Self {
            announcement,
            last_heard: now,
            unheard_replies: 0,
            failure_reports: Vec::new(),
            failing_until: Time::ZERO,
            published: CompactLoad::default(),
            full_version: 0,
            version: 0,
        }
    }

    /// Records an announcement or heartbeat. `acked` is the last sequence whose
    /// reply reached the sidecar.
    pub fn record_message(&mut self, now: Time, sequence: u64, acked: Option<u64>) {
        let reply_heard = acked.is_none_or(|acked| acked >= self.announcement.sequence);
        self.unheard_replies = if reply_heard {
            0
        } else {
            self.unheard_replies.saturating_add(1)
        };
        self.announcement.sequence = sequence;
        self.last_heard = now;
    }

    /// Records a reader's failure report.
    pub fn report_failure(&mut self, now: Time, reader: u64, settings: &MembersSettings) {
        let window = settings.report_window;
        self.failure_reports
            .retain(|(from, at)| *from != reader && now.since(*at) < window);
        if self.failure_reports.len() < MAX_FAILURE_REPORTS {
            self.failure_reports.push((reader, now));
        }
        if self.failure_reports.len() >= settings.min_reporters {
            self.failing_until = now + settings.failing_period;
            self.failure_reports.clear();
        }
    }

    /// Reason for which the upstream is suspected at `now`, if any.
    pub fn suspicion(&self, now: Time, settings: &MembersSettings) -> Option<Suspicion> {
        if now.since(self.last_heard) > settings.suspect_after() {
            Some(Suspicion::Silent)
        } else if self.unheard_replies >= settings.unheard_replies {
            Some(Suspicion::OneWay)
        } else if now < self.failing_until {
            Some(Suspicion::FailureReports)
        } else {
            None
        }
    }

    /// Whether the lease has expired.
    pub fn lease_expired(&self, now: Time, lease: Duration) -> bool {
        now.since(self.last_heard) >= lease
    }

    /// State and load that readers should receive at `now`.
    pub fn current_load(
        &self,
        now: Time,
        drained: bool,
        settings: &MembersSettings,
    ) -> CompactLoad {
        let announced = self.announcement.state;
        let state = if drained || announced == UpstreamState::Draining {
            UpstreamState::Draining
        } else if self.suspicion(now, settings).is_some() {
            UpstreamState::Failing
        } else {
            announced
        };
        CompactLoad::of(state, &self.announcement.load)
    }
}
