//! The minimum configuration index under which work is accepted.

use {
    quay_types::{ConfigIndex, Error, ErrorKind, Time},
    std::{collections::VecDeque, time::Duration},
};

/// Maximum number of indexes that are remembered; far fewer occur within one
/// grace period.
const MAX_OBSERVED: usize = 1_024;

/// Rejects work under an outdated configuration index once the grace period
/// after a change has passed.
///
/// The grace period is measured on the local monotonic clock from when the host
/// learned of the change. Work is therefore never rejected early, and a wrong
/// wall clock on a host has no effect.
#[derive(Debug)]
pub struct MinConfigIndex {
    /// Time for which the previous index is accepted after a change.
    grace: Duration,
    /// Indexes and the times at which they were observed; both increase.
    observed: VecDeque<(ConfigIndex, Time)>,
    /// Oldest accepted index; never decreases.
    oldest: ConfigIndex,
}

impl MinConfigIndex {
    /// Creates a guard that accepts every index until one is observed.
    #[must_use]
    pub const fn new(grace: Duration) -> Self {
        Self {
            grace,
            observed: VecDeque::new(),
            oldest: ConfigIndex(0),
        }
    }

    /// Sets the grace period of the configuration in force.
    pub const fn set_grace(&mut self, grace: Duration) {
        self.grace = grace;
    }

    /// Records that an index is in force.
    pub fn observe(&mut self, now: Time, index: ConfigIndex) {
        let newest = self
            .observed
            .back()
            .map_or(self.oldest, |(index, _)| *index);
        if index <= newest {
            return;
        }
        self.observed.push_back((index, now));
        if self.observed.len() > MAX_OBSERVED {
            self.observed.pop_front();
        }
    }

    /// Returns the oldest index that is accepted at `now`.
    pub fn minimum(&mut self, now: Time) -> ConfigIndex {
        while let Some((index, at)) = self.observed.front().copied() {
            if now.since(at) < self.grace {
                break;
            }
            assert!(index > self.oldest, "the minimum index decreased");
            self.oldest = index;
            self.observed.pop_front();
        }
        self.oldest
    }

    /// Checks that work under `index` is accepted.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::ConfigStale`] if the index is too old; the work did not
    /// run.
    pub fn check(&mut self, now: Time, index: ConfigIndex) -> Result<(), Error> {
        let oldest = self.minimum(now);
        if index >= oldest {
            return Ok(());
        }
        let message =
            format!("the request uses configuration {index}; {oldest} or newer is required");
        Err(Error::new(ErrorKind::ConfigStale, message))
    }
}
