//! Upstreams that have said in a response that they are leaving.

use {
    super::UpstreamRun,
    indexmap::IndexMap,
    quay_types::{Incarnation, UpstreamId},
};

/// Maximum number of recorded upstreams; the oldest are dropped first.
const MAX_RECORDED: usize = 4_096;

/// Upstreams that have said in a response that they are leaving. They receive no
/// further calls, whatever the directory says: an entry that is cut off from it
/// learns of the departure only here.
#[derive(Debug, Default)]
pub struct LeavingUpstreams {
    /// Latest leaving incarnation of each upstream. Kept after the directory has
    /// dropped the upstream, since an old announcement may list it again.
    incarnations: IndexMap<UpstreamId, Incarnation>,
}

impl LeavingUpstreams {
    /// Records that an incarnation of an upstream is leaving. Returns whether this
    /// was unknown.
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

    /// Whether an incarnation of an upstream, or a later one, is leaving.
    #[must_use]
    pub fn contains(&self, (id, incarnation): UpstreamRun) -> bool {
        let leaving = self.incarnations.get(&id);
        leaving.is_some_and(|leaving| *leaving >= incarnation)
    }
}
