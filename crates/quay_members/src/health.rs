//! Tells from a sidecar's own requests whether its upstream still works.

use {
    quay_types::{Time, UpstreamState},
    std::time::Duration,
};

/// When an upstream counts as failing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthSettings {
    /// Failures in a row.
    pub failures: u32,
    /// Silence of all running requests together.
    pub stall: Duration,
    /// How long after its last failure a failing upstream is tried again.
    pub probation: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            failures: 3,
            stall: Duration::from_secs(10),
            probation: Duration::from_secs(5),
        }
    }
}

/// Watches the requests of one upstream.
///
/// An upstream whose host answers heartbeats may still fail or hang on every
/// request; only its requests show that.
#[derive(Debug, Clone)]
pub struct Health {
    settings: HealthSettings,
    running: u32,
    /// Failures since the last sign of life.
    failures: u32,
    /// Last sign of life, or when the oldest silence began.
    progress: Time,
    /// Last failure.
    failed: Time,
}

impl Health {
    /// A watch over an upstream that is thought well.
    #[must_use]
    pub const fn new(settings: HealthSettings) -> Self {
        Self {
            settings,
            running: 0,
            failures: 0,
            progress: Time::ZERO,
            failed: Time::ZERO,
        }
    }

    /// A request was handed over.
    pub const fn started(&mut self, now: Time) {
        if self.running == 0 {
            self.progress = now;
        }
        self.running += 1;
    }

    /// Something came back.
    pub const fn progressed(&mut self, now: Time) {
        self.progress = now;
        self.failures = 0;
    }

    /// A request ended; `well` unless the upstream is to blame.
    pub const fn ended(&mut self, now: Time, well: bool) {
        self.running = self.running.saturating_sub(1);
        if well {
            self.progressed(now);
        } else {
            self.failures = self.failures.saturating_add(1);
            self.failed = now;
        }
    }

    /// Whether the upstream should be given new work.
    #[must_use]
    pub fn state(&self, now: Time) -> UpstreamState {
        let stalled = self.running > 0 && now.since(self.progress) >= self.settings.stall;
        // After the probation one more failure is enough to close it again.
        let broken = self.failures >= self.settings.failures
            && now.since(self.failed) < self.settings.probation;
        if stalled || broken {
            UpstreamState::Failing
        } else {
            UpstreamState::Serving
        }
    }
}
