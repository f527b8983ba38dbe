//! Intervals with jitter and back-off, so that processes that start at the same
//! time do not send requests at the same time.

use std::time::Duration;

/// Maximum back-off after failures, in intervals.
const MAX_BACKOFF: u32 = 4;

/// Width of the jitter range, as a fraction of the interval.
const JITTER: f64 = 0.2;

/// Computes the wait before each round of a periodic task.
#[derive(Debug, Clone)]
pub struct Pacer {
    interval: Duration,
    started: bool,
    failures: u32,
}

impl Pacer {
    /// Creates a pacer for rounds that are `interval` apart.
    #[must_use]
    pub const fn new(interval: Duration) -> Self {
        Self {
            interval,
            started: false,
            failures: 0,
        }
    }

    /// Records whether a round succeeded.
    pub const fn record_outcome(&mut self, succeeded: bool) {
        self.failures = if succeeded {
            0
        } else {
            self.failures.saturating_add(1)
        };
    }

    /// Returns the wait before the next round. `random` is drawn uniformly from
    /// 0 to 1.
    ///
    /// The first wait is up to one interval. After failures the upper bound
    /// doubles up to 4 intervals, and the wait is drawn between half an
    /// interval and this bound.
    pub fn next_wait(&mut self, random: f64) -> Duration {
        let random = random.clamp(0.0, 1.0);
        if !self.started {
            self.started = true;
            return self.interval.mul_f64(random);
        }
        if self.failures == 0 {
            let factor = (random - 0.5).mul_add(JITTER, 1.0);
            return self.interval.mul_f64(factor);
        }
        let factor = 1u32
            .checked_shl(self.failures)
            .unwrap_or(MAX_BACKOFF)
            .min(MAX_BACKOFF);
        let upper_bound = self.interval * factor;
        self.interval.mul_f64(0.5)
            + upper_bound
                .saturating_sub(self.interval / 2)
                .mul_f64(random)
    }
}
