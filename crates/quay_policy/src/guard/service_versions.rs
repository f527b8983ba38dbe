//! Software versions that the upstreams of each service have.

use {
    indexmap::IndexMap,
    quay_types::{ServiceId, SoftwareVersion, Time},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Time for which a version that is no longer listed counts.
const KEEP_TIME: Duration = Duration::from_mins(1);

/// Interval at which the time of a version that is listed is recorded again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(20);

/// A service and a version of its upstreams; `None` if they told none.
pub type ServiceVersion = (ServiceId, Option<SoftwareVersion>);

/// Versions that the upstreams of a service have or had lately, as entries get them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceVersions {
    /// Increases with each change of the list.
    pub revision: u64,
    /// Whether no version that an upstream had within the last minute is missing.
    pub complete: bool,
    /// The versions of all services.
    pub listed: Box<[ServiceVersion]>,
}

impl ServiceVersions {
    /// The version at which every stream of a service has begun within the last minute;
    /// `None` if there are several, or if it is uncertain.
    #[must_use]
    pub fn only_version(&self, service: ServiceId) -> Option<SoftwareVersion> {
        let listed = self.listed.iter().filter(|(other, _)| *other == service);
        let mut versions = listed.map(|(_, version)| *version);
        let only = versions.next()??;
        (self.complete && versions.next().is_none()).then_some(only)
    }
}

/// Observation of the versions that are listed in the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionsSeen {
    /// Unix time of the observation.
    pub at: Time,
    /// Versions that are listed.
    pub listed: Box<[ServiceVersion]>,
    /// Whether all upstreams that serve have had the time to announce themselves.
    pub whole: bool,
}

/// Registry of the versions of all services, replicated by the control group.
///
/// An upstream is listed to entries only once its version is recorded here, so the
/// registry knows every version at which a stream can have begun, also after all
/// entries and the directory were lost.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRegistry {
    /// Time from which on the registry has been kept; `None` if it has not.
    since: Option<Time>,
    /// Time at which each version was last listed.
    seen: IndexMap<ServiceVersion, Time>,
    list: ServiceVersions,
}

impl VersionRegistry {
    /// Marks the registry as complete: no stream has begun before.
    pub fn begin(&mut self) {
        self.since = Some(Time::ZERO);
        self.update_list(true);
    }

    /// The versions as entries get them.
    #[must_use]
    pub const fn list(&self) -> &ServiceVersions {
        &self.list
    }

    /// Whether a version is recorded.
    #[must_use]
    pub fn contains(&self, version: ServiceVersion) -> bool {
        self.seen.contains_key(&version)
    }

    /// Whether an observation would change the registry by more than times that are
    /// recent enough.
    #[must_use]
    pub fn needs(&self, seen: &VersionsSeen) -> bool {
        let stale = |at: &Time| seen.at.since(*at) >= REFRESH_INTERVAL;
        let outdated = |it: &ServiceVersion| self.seen.get(it).is_none_or(stale);
        let gone = |at: &Time| seen.at.since(*at) >= KEEP_TIME;
        seen.listed.iter().any(outdated) || (seen.whole && self.seen.values().any(gone))
    }

    /// Records an observation. Returns whether anything has changed.
    pub fn record(&mut self, seen: &VersionsSeen) -> bool {
        let before = (self.since, self.seen.clone(), self.list.revision);
        let since = *self.since.get_or_insert(seen.at);
        for version in &seen.listed {
            let at = self.seen.entry(*version).or_insert(seen.at);
            *at = seen.at.max(*at);
        }
        if seen.whole {
            self.seen.retain(|_, at| seen.at.since(*at) < KEEP_TIME);
        }
        self.update_list(since + KEEP_TIME <= seen.at);
        before != (self.since, self.seen.clone(), self.list.revision)
    }

    /// Updates the list of entries, whose revision rises if it changes.
    fn update_list(&mut self, complete: bool) {
        let listed: Box<[ServiceVersion]> = self.seen.keys().copied().collect();
        if (complete, &listed) != (self.list.complete, &self.list.listed) {
            self.list = ServiceVersions {
                revision: self.list.revision + 1,
                complete,
                listed,
            };
        }
    }
}
