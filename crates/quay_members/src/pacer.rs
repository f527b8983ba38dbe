//! Intervals with jitter, so that processes that start together do not ask
//! together.

use std::time::Duration;

/// Longest wait after failures, in intervals.
const MAX_BACKOFF: u32 = 4;

/// Spread of an interval, as a share of it.
const JITTER: f64 = 0.2;

/// Says how long to wait before each round.
#[derive(Debug, Clone)]
pub struct Pacer {
    interval: Duration,
    started: bool,
    failures: u32,
}

impl Pacer {
    /// Rounds `interval` apart.
    #[must_use]
    pub const fn new(interval: Duration) -> Self {
        Self {
            interval,
            started: false,
            failures: 0,
        }
    }

    /// Notes how a round went.
    pub const fn record_outcome(&mut self, well: bool) {
        self.failures = if well {
            0
        } else {
            self.failures.saturating_add(1)
        };
    }

    /// The wait before the next round. `random` is drawn evenly from 0 to 1.
    ///
    /// The first wait is anywhere within an interval. After failures waits
    /// double, and are drawn from the whole span, up to 4 intervals.
    pub fn next_wait(&mut self, random: f64) -> Duration {
        let random = random.clamp(0.0, 1.0);
        if !self.started {
            self.started = true;
            return self.interval.mul_f64(random);
        }
        if self.failures == 0 {
            let share = (random - 0.5).mul_add(JITTER, 1.0);
            return self.interval.mul_f64(share);
        }
        let factor = 1u32
            .checked_shl(self.failures)
            .unwrap_or(MAX_BACKOFF)
            .min(MAX_BACKOFF);
        let span = self.interval * factor;
        self.interval.mul_f64(0.5) + span.saturating_sub(self.interval / 2).mul_f64(random)
    }
}
