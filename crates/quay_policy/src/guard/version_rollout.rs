//! Whether upstreams of a new software version may be listed to entries.

use {
    super::{ServiceVersion, ServiceVersions},
    indexmap::{IndexMap, IndexSet},
    quay_types::Time,
    std::{hash::Hash, time::Duration},
};

/// Times of [`VersionRollout`].
#[derive(Debug, Clone, Copy)]
pub struct VersionRolloutSettings {
    /// Time from an entry's poll for which the entry trusts the list of versions that it
    /// has, with a margin.
    pub lease: Duration,
    /// Time from the start of a leader during which entries may trust a list that an
    /// earlier leader confirmed.
    pub takeover: Duration,
}

impl Default for VersionRolloutSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(1_600),
            takeover: Duration::from_millis(2_300),
        }
    }
}

/// Latest poll of an entry.
#[derive(Debug, Clone, Copy)]
struct Poll {
    at: Time,
    /// Revision of the entry's list of versions; 0 without one.
    revision: u64,
}

/// Tells whether upstreams of a new version may be listed to entries, which begin streams
/// there from then on.
///
/// An entry that knows a single version of a service takes streams of unknown origin up
/// at that version. So before a stream begins at a further version, each entry must know
/// that version, or must have been without an update for so long that it no longer trusts
/// its list.
#[derive(Debug)]
pub struct VersionRollout<E> {
    cfg: VersionRolloutSettings,
    /// Time at which the leader began to lead.
    began: Time,
    polls: IndexMap<E, Poll>,
    /// Versions that may be listed; all of them are recorded.
    released: IndexSet<ServiceVersion>,
}

impl<E: Copy + Eq + Hash> VersionRollout<E> {
    /// Creates the state of a leader that begins now.
    #[must_use]
    pub fn new(now: Time, cfg: VersionRolloutSettings) -> Self {
        Self {
            cfg,
            began: now,
            polls: IndexMap::new(),
            released: IndexSet::new(),
        }
    }

    /// Records the poll of an entry that has the list of versions with this revision.
    pub fn record_poll(&mut self, now: Time, entry: E, revision: u64) {
        self.polls.insert(entry, Poll { at: now, revision });
    }

    /// Forgets the entries that no longer trust their lists.
    pub fn tick(&mut self, now: Time) {
        let lease = self.cfg.lease;
        self.polls.retain(|_, poll| now.since(poll.at) < lease);
    }

    /// Whether upstreams of a version may be listed. `recorded` is the current list.
    pub fn may_list(
        &mut self,
        now: Time,
        version: ServiceVersion,
        recorded: &ServiceVersions,
    ) -> bool {
        self.tick(now);
        // A version that was forgotten meanwhile is a new one when it returns.
        self.released.retain(|it| recorded.listed.contains(it));
        if self.released.contains(&version) {
            return true;
        }
        let mut others = recorded.listed.iter();
        let only = !others.any(|it| it.0 == version.0 && it.1 != version.1);
        let may = recorded.listed.contains(&version) && (only || self.all_know(now, recorded));
        if may {
            self.released.insert(version);
        }
        may
    }

    /// Whether every entry that trusts its list has the current one. One without a list
    /// takes no version for the only one.
    fn all_know(&self, now: Time, recorded: &ServiceVersions) -> bool {
        let knows = |poll: &Poll| poll.revision == 0 || poll.revision >= recorded.revision;
        now.since(self.began) >= self.cfg.takeover && self.polls.values().all(knows)
    }
}
