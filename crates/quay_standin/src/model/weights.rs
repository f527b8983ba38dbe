//! A weight store that sends at a limited rate.

use {quay_types::Time, std::time::Duration};

/// A weight store that serves one fetch after the other at a fixed rate.
#[derive(Debug, Clone, Copy)]
pub struct WeightStore {
    bytes_per_second: u64,
    free_at: Time,
}

impl WeightStore {
    /// A store that sends `bytes_per_second`.
    #[must_use]
    pub const fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second,
            free_at: Time::ZERO,
        }
    }

    /// Queues a fetch; returns how long it takes from now.
    pub fn fetch(&mut self, now: Time, bytes: u64) -> Duration {
        let micros = bytes.saturating_mul(1_000_000) / self.bytes_per_second.max(1);
        self.free_at = self.free_at.max(now) + Duration::from_micros(micros);
        self.free_at.since(now)
    }
}
