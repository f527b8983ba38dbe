//! Times and limits of the directory.

use std::time::Duration;

/// Times and limits of the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembersSettings {
    /// Interval between a sidecar's heartbeats.
    pub heartbeat: Duration,
    /// Number of heartbeats that may be missed before an upstream is suspected;
    /// must be more than 1.
    pub missed_heartbeats: u32,
    /// Time without a message after which an upstream is removed; must be
    /// longer than `heartbeat * missed_heartbeats`.
    pub lease: Duration,
    /// Number of consecutive heartbeats that show that replies do not reach the
    /// sidecar, before its upstream is suspected.
    pub unheard_replies: u32,
    /// Number of distinct readers that must report failures of an upstream
    /// before it is marked as failing.
    pub min_reporters: usize,
    /// Time for which a failure report counts.
    pub report_window: Duration,
    /// Time for which an upstream stays marked as failing after failure
    /// reports.
    pub failing_period: Duration,
    /// Maximum number of full entries in one reply.
    pub max_full_entries: usize,
    /// Maximum number of load entries in one reply.
    pub max_entries: usize,
    /// Maximum number of entries; announcements of further upstreams are
    /// refused.
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
    /// Time without a message after which an upstream is suspected.
    #[must_use]
    pub fn suspect_after(&self) -> Duration {
        // Half an interval is added, since heartbeats are sent with jitter.
        self.heartbeat * self.missed_heartbeats + self.heartbeat / 2
    }
}
