//! Origins of streams that one store remembers.

use {
    indexmap::IndexMap,
    quay_policy::StreamOrigin,
    quay_types::{AttemptTag, Time},
    std::time::Duration,
};

/// Maximum number of origins.
const MAX_ORIGINS: usize = 65_536;

/// Number of origins that are dropped together if there are too many, oldest first.
const DROPPED_TOGETHER: usize = 4_096;

/// Origins of streams, by the attempt that brought the first event. They are kept in
/// memory only: a stream whose origin is lost is refused, and does no harm.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    held: IndexMap<AttemptTag, (StreamOrigin, Time)>,
}

impl StreamOrigins {
    /// Adds an origin that is kept for `keep`, unless the attempt has one.
    pub fn insert(
        &mut self,
        now: Time,
        attempt: AttemptTag,
        origin: StreamOrigin,
        keep: Duration,
    ) -> StreamOrigin {
        if self.held.len() >= MAX_ORIGINS {
            self.held.drain(..DROPPED_TOGETHER);
        }
        let (origin, _) = *self.held.entry(attempt).or_insert((origin, now + keep));
        origin
    }

    /// Origin of the stream that an attempt began, if it is known.
    #[must_use]
    pub fn get(&self, now: Time, attempt: AttemptTag) -> Option<StreamOrigin> {
        let (origin, expires) = self.held.get(&attempt)?;
        (*expires > now).then_some(*origin)
    }

    /// Number of origins.
    #[must_use]
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether there are no origins.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Removes the origins that are no longer kept.
    pub fn expire(&mut self, now: Time) {
        self.held.retain(|_, (_, expires)| *expires > now);
    }
}
