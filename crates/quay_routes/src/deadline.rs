//! How long a request may take.

use {quay_types::Time, std::time::Duration};

/// How long a request may take, from when its head was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestDeadline {
    /// When the caller stops waiting.
    pub caller_deadline: Time,
    /// When the operator wants an answer at the latest.
    pub route_deadline: Time,
}

impl RequestDeadline {
    /// The allowance of a request that arrived at `arrived`.
    #[must_use]
    pub fn new(arrived: Time, patience: Option<Duration>, timeout: Duration) -> Self {
        Self {
            caller_deadline: arrived + patience.unwrap_or(timeout),
            route_deadline: arrived + timeout,
        }
    }

    /// When the request is given up.
    #[must_use]
    pub fn at(&self) -> Time {
        self.caller_deadline.min(self.route_deadline)
    }

    /// Time that is left.
    #[must_use]
    pub fn remaining(&self, now: Time) -> Duration {
        self.at().since(now)
    }
}
