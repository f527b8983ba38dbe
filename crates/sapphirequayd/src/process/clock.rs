//! Clock of the daemon; the daemon logic reads time only through this module.

use {
    quay_types::Time,
    rustix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// A monotonic clock whose origin is the start of the process.
///
/// It counts the time for which the host was suspended, unlike [`Instant`]: a
/// host that wakes up must see that its leases, deadlines and load reports have
/// expired meanwhile.
///
/// [`Instant`]: std::time::Instant
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// [`Clock::uptime`] at the start of the process.
    origin: Duration,
}

impl Clock {
    /// Returns a clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Self::uptime(),
        }
    }

    /// Time since the clock started.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::ZERO + Self::uptime().saturating_sub(self.origin)
    }

    /// Time since the host started, including the time for which it was
    /// suspended.
    #[must_use]
    pub fn uptime() -> Duration {
        let now = clock_gettime(ClockId::Boottime);
        let part = |value| u64::try_from(value).unwrap_or_default();
        Duration::from_secs(part(now.tv_sec)) + Duration::from_nanos(part(now.tv_nsec))
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
