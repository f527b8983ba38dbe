//! Upstreams that get no new work, as readers learn of them beside the directory.

use {
    quay_types::{Incarnation, UpstreamId},
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Maximum number of departures that are kept for readers; the oldest are dropped first.
const MAX_DEPARTURES: usize = 1_024;

/// An upstream, with the latest incarnation that gets no new work.
pub type Departure = (UpstreamId, Incarnation);

/// Departures in the order in which one host learned of them.
///
/// A new host's directory does not list an upstream that left before it announced itself
/// there. Readers keep that upstream's entry from an earlier host until the new directory is
/// complete, and learn only from this log that it has left.
#[derive(Debug, Default)]
pub struct DepartureLog {
    /// Number of departures that were dropped.
    dropped: u64,
    /// The latest departures, oldest first.
    recent: VecDeque<Departure>,
}

/// Departures that a reader lacks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureChanges {
    /// Number of departures that the reader knows with these.
    pub known: u64,
    /// The departures, oldest first.
    pub departures: Vec<Departure>,
}

impl DepartureLog {
    /// Adds a departure.
    pub fn record(&mut self, departure: Departure) {
        self.recent.push_back(departure);
        if self.recent.len() > MAX_DEPARTURES {
            self.recent.pop_front();
            self.dropped += 1;
        }
    }

    /// Departures after the first `known` ones.
    #[must_use]
    pub fn since(&self, known: u64) -> DepartureChanges {
        let held = known.saturating_sub(self.dropped);
        let held = usize::try_from(held).unwrap_or(usize::MAX);
        DepartureChanges {
            known: self.dropped + self.recent.len() as u64,
            departures: self.recent.iter().skip(held).copied().collect(),
        }
    }
}
