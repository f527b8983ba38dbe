//! Deadlines of a request.

use {quay_types::Time, std::time::Duration};

/// Deadlines of a request, counted from the time at which its head was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestDeadline {
    /// Time at which the caller stops waiting.
    pub caller_deadline: Time,
    /// Time at which the route's timeout ends.
    pub route_deadline: Time,
}

impl RequestDeadline {
    /// Creates the deadlines of a request that arrived at `arrived`. Without a
    /// caller timeout the route's timeout applies.
    #[must_use]
    pub fn new(arrived: Time, caller_timeout: Option<Duration>, route_timeout: Duration) -> Self {
        Self {
            caller_deadline: arrived + caller_timeout.unwrap_or(route_timeout),
            route_deadline: arrived + route_timeout,
        }
    }

    /// Time at which the request is abandoned: the earlier of the two
    /// deadlines.
    #[must_use]
    pub fn at(&self) -> Time {
        self.caller_deadline.min(self.route_deadline)
    }

    /// Time remaining until the request is abandoned.
    #[must_use]
    pub fn remaining(&self, now: Time) -> Duration {
        self.at().since(now)
    }
}
