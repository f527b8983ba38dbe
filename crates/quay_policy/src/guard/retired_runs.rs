//! Incarnations of upstreams that are known to be past.

use {
    super::UpstreamRun,
    indexmap::IndexMap,
    quay_types::{Incarnation, UpstreamId},
};

/// Maximum number of recorded upstreams; the oldest are dropped first.
const MAX_RECORDED: usize = 4_096;

/// Incarnations of upstreams that are leaving or have ended, as an entry has seen
/// itself: one that is cut off from the directory learns of them only so.
#[derive(Debug, Default)]
pub struct RetiredRuns {
    /// Latest retired incarnation of each upstream. Kept after the directory has
    /// dropped the upstream, since an old announcement may list it again.
    incarnations: IndexMap<UpstreamId, Incarnation>,
}

impl RetiredRuns {
    /// Records that an incarnation of an upstream is leaving or has ended. Returns
    /// whether this was unknown.
    pub fn record(&mut self, run: UpstreamRun) -> bool {
        if self.contains(run) {
            return false;
        }
        let (id, incarnation) = run;
        self.incarnations.shift_remove(&id);
        self.incarnations.insert(id, incarnation);
        if self.incarnations.len() > MAX_RECORDED {
            self.incarnations.shift_remove_index(0);
        }
        true
    }

    /// Whether an incarnation of an upstream, or a later one, is recorded.
    #[must_use]
    pub fn contains(&self, (id, incarnation): UpstreamRun) -> bool {
        let retired = self.incarnations.get(&id);
        retired.is_some_and(|retired| *retired >= incarnation)
    }
}
