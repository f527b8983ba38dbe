//! One upstream as a host knows it.

use {
    crate::{CompactLoad, MembersSettings},
    quay_types::{Announcement, Time, UpstreamState},
    std::time::Duration,
};

/// Why an upstream is not trusted although its lease has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// It missed more than one heartbeat.
    Silent,
    /// Its heartbeats arrive but it does not hear their answers.
    OneWay,
    /// Readers' requests to it fail.
    FailureReports,
}

/// Complaints that are kept of one upstream.
const MAX_FAILURE_REPORTS: usize = 16;

/// One upstream.
#[derive(Debug)]
pub(crate) struct Entry {
    pub announcement: Announcement,
    /// When it was last heard.
    pub heard: Time,
    /// Heartbeats in a row that did not know of the answer before.
    unheard_answers: u32,
    /// Readers that complained, and when; oldest first.
    failure_reports: Vec<(u64, Time)>,
    /// End of the time for which failure reports keep it marked.
    failing_until: Time,
    /// State and load as readers are told.
    pub told: CompactLoad,
    /// Version of the last change of the announcement.
    pub full_version: u64,
    /// Version of the last change of any part; not below `full_version`.
    pub version: u64,
}

impl Entry {
    /// A line that was just announced.
    pub fn new(now: Time, announcement: Announcement) -> Self {
        Self {
            announcement,
            heard: now,
            unheard_answers: 0,
            failure_reports: Vec::new(),
            failing_until: Time::ZERO,
            told: CompactLoad::default(),
            full_version: 0,
            version: 0,
        }
    }

    /// Notes a sign of life; `acked` is the last answer that the sidecar heard.
    pub fn hear(&mut self, now: Time, sequence: u64, acked: Option<u64>) {
        let heard_answer = acked.is_none_or(|acked| acked >= self.announcement.sequence);
        self.unheard_answers = if heard_answer {
            0
        } else {
            self.unheard_answers.saturating_add(1)
        };
        self.announcement.sequence = sequence;
        self.heard = now;
    }

    /// Notes a reader's report.
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

    /// Why it is not trusted now.
    pub fn suspicion(&self, now: Time, settings: &MembersSettings) -> Option<Suspicion> {
        if now.since(self.heard) > settings.suspect_after() {
            Some(Suspicion::Silent)
        } else if self.unheard_answers >= settings.unheard_replies {
            Some(Suspicion::OneWay)
        } else if now < self.failing_until {
            Some(Suspicion::FailureReports)
        } else {
            None
        }
    }

    /// Whether its lease has ended.
    pub fn lapsed(&self, now: Time, lease: Duration) -> bool {
        now.since(self.heard) >= lease
    }

    /// State and load as readers should be told now.
    pub fn view(&self, now: Time, drained: bool, settings: &MembersSettings) -> CompactLoad {
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
