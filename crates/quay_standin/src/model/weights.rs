//! Model of a weight store with a limited transfer rate.

use {quay_types::Time, std::time::Duration};

/// Weight store that serves fetches sequentially at a fixed rate.
#[derive(Debug, Clone, Copy)]
pub struct WeightStore {
    bytes_per_second: u64,
    free_at: Time,
}

impl WeightStore {
    /// Creates a store with a transfer rate of `bytes_per_second`.
    #[must_use]
    pub const fn new(bytes_per_second: u64) -> Self {
        Self {
            bytes_per_second,
            free_at: Time::ZERO,
        }
    }

    /// Queues a fetch. Returns the time from `now` until it completes, including
    /// the wait for earlier fetches.
    pub fn fetch(&mut self, now: Time, bytes: u64) -> Duration {
        let micros = bytes.saturating_mul(1_000_000) / self.bytes_per_second.max(1);
        self.free_at = self.free_at.max(now) + Duration::from_micros(micros);
        self.free_at.since(now)
    }
}
