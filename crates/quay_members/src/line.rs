//! One upstream as a host knows it.

use {
    crate::{LoadLine, MembersSettings},
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
    Complaints,
}

/// Complaints that are kept of one upstream.
const MAX_COMPLAINTS: usize = 16;

/// One upstream.
#[derive(Debug)]
pub(crate) struct Line {
    pub announcement: Announcement,
    /// When it was last heard.
    pub heard: Time,
    /// Heartbeats in a row that did not know of the answer before.
    unheard_answers: u32,
    /// Readers that complained, and when; oldest first.
    complaints: Vec<(u64, Time)>,
    /// End of the time for which complaints keep it marked.
    failing_until: Time,
    /// State and load as readers are told.
    pub told: LoadLine,
    /// Version of the last change of the announcement.
    pub full_version: u64,
    /// Version of the last change of any part; not below `full_version`.
    pub version: u64,
}

impl Line {
    /// A line that was just announced.
    pub fn new(now: Time, announcement: Announcement) -> Self {
        Self {
            announcement,
            heard: now,
            unheard_answers: 0,
            complaints: Vec::new(),
            failing_until: Time::ZERO,
            told: LoadLine::default(),
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

    /// Notes a reader's complaint.
    pub fn complain(&mut self, now: Time, reader: u64, settings: &MembersSettings) {
        let window = settings.complaint_window;
        self.complaints
            .retain(|(from, at)| *from != reader && now.since(*at) < window);
        if self.complaints.len() < MAX_COMPLAINTS {
            self.complaints.push((reader, now));
        }
        if self.complaints.len() >= settings.complainants {
            self.failing_until = now + settings.probation;
            self.complaints.clear();
        }
    }

    /// Why it is not trusted now.
    pub fn suspicion(&self, now: Time, settings: &MembersSettings) -> Option<Suspicion> {
        if now.since(self.heard) > settings.suspect_after() {
            Some(Suspicion::Silent)
        } else if self.unheard_answers >= settings.one_way {
            Some(Suspicion::OneWay)
        } else if now < self.failing_until {
            Some(Suspicion::Complaints)
        } else {
            None
        }
    }

    /// Whether its lease has ended.
    pub fn lapsed(&self, now: Time, lease: Duration) -> bool {
        now.since(self.heard) >= lease
    }

    /// State and load as readers should be told now.
    pub fn view(&self, now: Time, drained: bool, settings: &MembersSettings) -> LoadLine {
        let announced = self.announcement.state;
        let state = if drained || announced == UpstreamState::Draining {
            UpstreamState::Draining
        } else if self.suspicion(now, settings).is_some() {
            UpstreamState::Failing
        } else {
            announced
        };
        LoadLine::of(state, &self.announcement.load)
    }
}
