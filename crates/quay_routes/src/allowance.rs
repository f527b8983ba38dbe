//! How long a request may take.

use {quay_types::Time, std::time::Duration};

/// How long a request may take, from when its head was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allowance {
    /// When the caller stops waiting.
    pub patience_ends: Time,
    /// When the operator wants an answer at the latest.
    pub timeout_ends: Time,
}

impl Allowance {
    /// The allowance of a request that arrived at `arrived`.
    #[must_use]
    pub fn new(arrived: Time, patience: Option<Duration>, timeout: Duration) -> Self {
        Self {
            patience_ends: arrived + patience.unwrap_or(timeout),
            timeout_ends: arrived + timeout,
        }
    }

    /// When the request is given up.
    #[must_use]
    pub fn ends(&self) -> Time {
        self.patience_ends.min(self.timeout_ends)
    }

    /// Time that is left.
    #[must_use]
    pub fn left(&self, now: Time) -> Duration {
        self.ends().since(now)
    }
}
