//! Origins of streams that one store remembers.

use {
    indexmap::IndexMap,
    quay_policy::StreamOrigin,
    quay_types::{AttemptTag, ContentDigest, Time},
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
    /// Origins by the content of their requests, one for each service and version.
    contents: IndexMap<ContentDigest, (Vec<StreamOrigin>, Time)>,
}

impl StreamOrigins {
    /// Adds an origin that is kept for `keep`, unless the attempt has one. The version of
    /// its run may become known later.
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
        let (held, _) = self.held.entry(attempt).or_insert((origin, now + keep));
        if !held.is_version_known() && held.is_same_run(&origin) {
            *held = origin;
        }
        *held
    }

    /// Adds an origin under the content of its request, which is kept for `keep`. Of
    /// several origins of one service and version the last is kept.
    pub fn insert_content(
        &mut self,
        now: Time,
        content: ContentDigest,
        origin: StreamOrigin,
        keep: Duration,
    ) {
        if self.contents.len() >= MAX_ORIGINS {
            self.contents.drain(..DROPPED_TOGETHER);
        }
        let (origins, expires) = self.contents.entry(content).or_default();
        if *expires <= now {
            origins.clear();
        }
        // The record of a known version may arrive before that of the unknown one.
        let is_known = |it: &StreamOrigin| it.is_same_run(&origin) && it.is_version_known();
        if origins.iter().any(is_known) {
            return;
        }
        origins.retain(|it| {
            let same_version = (it.service, it.version) == (origin.service, origin.version);
            !same_version && !it.is_same_run(&origin)
        });
        origins.push(origin);
        *expires = now + keep;
    }

    /// Origins of the streams of a content, one for each service and version.
    #[must_use]
    pub fn of_content(&self, now: Time, content: ContentDigest) -> &[StreamOrigin] {
        let held = self.contents.get(&content);
        held.filter(|(_, expires)| *expires > now)
            .map_or(&[], |(origins, _)| origins)
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
        self.held.is_empty() && self.contents.is_empty()
    }

    /// Removes the origins that are no longer kept.
    pub fn expire(&mut self, now: Time) {
        self.held.retain(|_, (_, expires)| *expires > now);
        self.contents.retain(|_, (_, expires)| *expires > now);
    }
}
