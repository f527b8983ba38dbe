//! Which upstream ran the last call of a line of calls.

use {
    indexmap::IndexMap,
    quay_types::{Incarnation, UpstreamId},
};

/// The last call of a line.
#[derive(Debug, Clone, Copy)]
pub(super) struct LastCall {
    /// The upstream that ran it.
    pub(super) upstream: UpstreamId,
    /// Incarnation of the sidecar in front of the upstream.
    pub(super) incarnation: Incarnation,
    /// Blocks of the call's prompt, which the upstream holds since.
    pub(super) blocks: usize,
}

/// The last calls of lines that this entry sent.
///
/// The cache book samples a prompt; this tells exactly who holds the history of
/// a call that goes on from an earlier one.
#[derive(Debug)]
pub(super) struct Conversations {
    /// At most `max` entries.
    runs: IndexMap<u64, LastCall>,
    max: usize,
    /// Next entry that makes room for another one.
    hand: usize,
}

impl Conversations {
    /// Nothing was sent yet; at most `max` lines are remembered.
    pub(super) fn new(max: usize) -> Self {
        Self {
            runs: IndexMap::new(),
            max: max.max(1),
            hand: 0,
        }
    }

    /// Notes who runs a call of a line.
    pub(super) fn put(&mut self, line: u64, run: LastCall) {
        if self.runs.len() >= self.max && !self.runs.contains_key(&line) {
            self.hand = (self.hand + 1) % self.max;
            self.runs.swap_remove_index(self.hand);
        }
        self.runs.insert(line, run);
    }

    /// Who ran the last call of a line.
    pub(super) fn get(&self, line: u64) -> Option<LastCall> {
        self.runs.get(&line).copied()
    }
}
