//! Software versions that the upstreams of each service have.

use {
    indexmap::IndexMap,
    quay_types::{ServiceId, SoftwareVersion, Time},
    std::time::Duration,
};

/// Time for which a version that is no longer listed counts.
const KEEP_TIME: Duration = Duration::from_mins(1);

/// Versions of the upstreams of each service that an entry has seen lately.
///
/// A caller that takes up a stream without naming the attempt that began it can go on
/// only if there is one version at which the stream can have begun.
#[derive(Debug, Default)]
pub struct ServiceVersions {
    /// Time at which an upstream of the service was last listed with the version.
    seen: IndexMap<(ServiceId, Option<SoftwareVersion>), Time>,
}

impl ServiceVersions {
    /// Records that an upstream of a service is listed with a version, or without.
    pub fn record(&mut self, now: Time, service: ServiceId, version: Option<SoftwareVersion>) {
        self.seen.insert((service, version), now);
    }

    /// The version of all upstreams of a service that were listed lately; `None` if
    /// there are several, or if one of them told none.
    #[must_use]
    pub fn only_version(&self, now: Time, service: ServiceId) -> Option<SoftwareVersion> {
        let seen = self.seen.iter();
        let seen = seen.filter(|((other, _), at)| *other == service && now.since(**at) < KEEP_TIME);
        let mut versions = seen.map(|((_, version), _)| *version);
        let only = versions.next()??;
        versions.next().is_none().then_some(only)
    }

    /// Forgets versions that were not listed for long.
    pub fn tick(&mut self, now: Time) {
        self.seen.retain(|_, at| now.since(*at) < KEEP_TIME);
    }
}
