//! Clock of the daemon; the daemon logic reads time only through this module.

use {
    quay_types::Time,
    std::time::{Instant, SystemTime, UNIX_EPOCH},
};

/// A monotonic clock whose origin is the start of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock(Instant);

impl Clock {
    /// Returns a clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Time since the clock started.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::ZERO + self.0.elapsed()
    }

    /// Wall-clock time in milliseconds since the Unix epoch.
    #[must_use]
    pub fn wall_ms() -> u64 {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}
