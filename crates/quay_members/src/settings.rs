//! Times and bounds of membership.

use std::time::Duration;

/// Times and bounds of membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembersSettings {
    /// Interval of a sidecar's heartbeats.
    pub heartbeat: Duration,
    /// Heartbeats that may be missed before a line is suspected; more than one.
    pub missed: u32,
    /// Silence after which a line is dropped; longer than `heartbeat * missed`.
    pub lease: Duration,
    /// Heartbeats in a row that show that answers do not arrive, before a line
    /// is suspected.
    pub one_way: u32,
    /// Readers that must complain of an upstream before it counts as failing.
    pub complainants: usize,
    /// How long a complaint counts.
    pub complaint_window: Duration,
    /// How long an upstream that readers complained of stays marked.
    pub probation: Duration,
    /// Full lines in one answer.
    pub full_lines: usize,
    /// Lines of any form in one answer.
    pub lines: usize,
    /// Lines at most; announcements beyond are refused.
    pub capacity: u16,
}

impl Default for MembersSettings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(500),
            missed: 3,
            lease: Duration::from_secs(5),
            one_way: 3,
            complainants: 2,
            complaint_window: Duration::from_secs(10),
            probation: Duration::from_secs(10),
            full_lines: 28,
            lines: 1_024,
            capacity: 4_096,
        }
    }
}

impl MembersSettings {
    /// Silence after which a line is suspected.
    #[must_use]
    pub fn suspect_after(&self) -> Duration {
        // Half an interval more, since heartbeats are sent with jitter.
        self.heartbeat * self.missed + self.heartbeat / 2
    }
}
