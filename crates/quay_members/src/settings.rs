//! Times and bounds of membership.

use std::time::Duration;

/// Times and bounds of membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembersSettings {
    /// Interval of a sidecar's heartbeats.
    pub heartbeat: Duration,
    /// Heartbeats that may be missed before a line is suspected; more than one.
    pub missed_heartbeats: u32,
    /// Silence after which a line is dropped; longer than `heartbeat * missed`.
    pub lease: Duration,
    /// Heartbeats in a row that show that answers do not arrive, before a line
    /// is suspected.
    pub unheard_replies: u32,
    /// Readers that must complain of an upstream before it counts as failing.
    pub min_reporters: usize,
    /// How long a report counts.
    pub report_window: Duration,
    /// How long an upstream that readers complained of stays marked.
    pub failing_period: Duration,
    /// Full lines in one answer.
    pub max_full_entries: usize,
    /// Lines of any form in one answer.
    pub max_entries: usize,
    /// Lines at most; announcements beyond are refused.
    pub capacity: u16,
}

impl Default for MembersSettings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(500),
            missed_heartbeats: 3,
            lease: Duration::from_secs(5),
            unheard_replies: 3,
            min_reporters: 2,
            report_window: Duration::from_secs(10),
            failing_period: Duration::from_secs(10),
            max_full_entries: 28,
            max_entries: 1_024,
            capacity: 4_096,
        }
    }
}

impl MembersSettings {
    /// Silence after which a line is suspected.
    #[must_use]
    pub fn suspect_after(&self) -> Duration {
        // Half an interval more, since heartbeats are sent with jitter.
        self.heartbeat * self.missed_heartbeats + self.heartbeat / 2
    }
}
