//! How far a store has come that joins a group.

use {
    crate::{CopySource, StoreMember, StoreView},
    indexmap::IndexMap,
};

/// Step of a join, which is taken at one source after the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JoinStep {
    /// The source refuses requests of earlier epochs.
    Fence,
    /// What the source holds is copied.
    Copy,
}

/// Counts the sources at which a step of a join is done.
///
/// The joining member is whole only by copies of whole sources: any
/// [`needed`](StoreMember::needed) of these hold every write that was acknowledged before
/// it joined. Until then it must not be counted for a denial, however long that takes: a
/// source that is silent may hold what no other one does. Only if so many sources are lost
/// that too few can ever be whole, all that is left is taken as well.
#[derive(Debug)]
pub struct JoinTally {
    step: JoinStep,
    /// Sources at which the step is done, and whether they were whole when it began.
    done: IndexMap<u64, bool>,
}

impl JoinTally {
    /// Starts a step, which is done at no source.
    #[must_use]
    pub fn new(step: JoinStep) -> Self {
        Self {
            step,
            done: IndexMap::new(),
        }
    }

    /// Sources at which the step can be taken now.
    #[must_use]
    pub fn pending(&self, view: &StoreView, joining: &StoreMember) -> Vec<CopySource> {
        let all = self.exceeds_tolerance(view, joining);
        let mut sources = view.sources_of(joining);
        sources.retain(|source| {
            (all || source.whole) && !self.is_done(source) && !view.is_lost(source)
        });
        sources
    }

    /// Records that the step is done at a source that [`pending`](Self::pending) returned.
    pub fn record(&mut self, source: &CopySource) {
        self.done.insert(source.identity, source.whole);
    }

    /// Whether the step is done at enough sources.
    #[must_use]
    pub fn is_complete(&self, view: &StoreView, joining: &StoreMember) -> bool {
        let joining = view.joined_as(joining);
        let sources = view.sources_of(joining);
        let copied: Vec<u64> = sources
            .iter()
            .filter(|source| self.is_done(source))
            .map(|source| source.identity)
            .collect();
        match self.step {
            JoinStep::Fence => view.fence_is_complete(joining, &copied),
            JoinStep::Copy => view.copy_is_complete(joining, &copied),
        }
    }

    /// The step.
    #[must_use]
    pub const fn step(&self) -> JoinStep {
        self.step
    }

    /// Number of sources at which the step is done.
    #[must_use]
    pub fn done(&self) -> usize {
        self.done.len()
    }

    /// Whether the step is done at a source in its present state. A copy of a source that
    /// has become whole since then may lack what that one copied itself.
    fn is_done(&self, source: &CopySource) -> bool {
        let whole = self.done.get(&source.identity);
        whole.is_some_and(|whole| *whole || !source.whole)
    }

    /// Whether too few sources can ever be whole.
    fn exceeds_tolerance(&self, view: &StoreView, joining: &StoreMember) -> bool {
        let joining = view.joined_as(joining);
        match self.step {
            JoinStep::Fence => !view.can_be_fenced(joining),
            JoinStep::Copy => !view.can_be_copied(joining),
        }
    }
}
