//! The oldest index that work is still taken under.

use {
    quay_types::{ConfigIndex, Error, ErrorKind, Time},
    std::{collections::VecDeque, time::Duration},
};

/// Indexes that are remembered; within one grace there are far fewer.
const MAX_LEARNED: usize = 1_024;

/// Refuses work that was begun under an index older than a change and its grace.
///
/// It counts the grace on its own monotonic clock from when it learned of the
/// change, so it never refuses early, and a host whose clock is wrong judges
/// like every other.
#[derive(Debug)]
pub struct MinConfigIndex {
    grace: Duration,
    /// Indexes and when they were learned; both rise.
    learned: VecDeque<(ConfigIndex, Time)>,
    /// Oldest index that is taken; only rises.
    oldest: ConfigIndex,
}

impl MinConfigIndex {
    /// A floor that takes everything until it learns of an index.
    #[must_use]
    pub const fn new(grace: Duration) -> Self {
        Self {
            grace,
            learned: VecDeque::new(),
            oldest: ConfigIndex(0),
        }
    }

    /// Sets the grace that the configuration in force names.
    pub const fn set_grace(&mut self, grace: Duration) {
        self.grace = grace;
    }

    /// Learns that an index is in force.
    pub fn observe(&mut self, now: Time, index: ConfigIndex) {
        let newest = self.learned.back().map_or(self.oldest, |(index, _)| *index);
        if index <= newest {
            return;
        }
        self.learned.push_back((index, now));
        if self.learned.len() > MAX_LEARNED {
            self.learned.pop_front();
        }
    }

    /// The oldest index that work may be begun under now.
    pub fn minimum(&mut self, now: Time) -> ConfigIndex {
        while let Some((index, at)) = self.learned.front().copied() {
            if now.since(at) < self.grace {
                break;
            }
            assert!(index > self.oldest, "the floor fell");
            self.oldest = index;
            self.learned.pop_front();
        }
        self.oldest
    }

    /// Whether work under `index` is taken.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::ConfigStale`]: the work did not run.
    pub fn check(&mut self, now: Time, index: ConfigIndex) -> Result<(), Error> {
        let oldest = self.minimum(now);
        if index >= oldest {
            return Ok(());
        }
        let message = format!("the entry acts on configuration {index}; {oldest} is needed");
        Err(Error::new(ErrorKind::ConfigStale, message))
    }
}
