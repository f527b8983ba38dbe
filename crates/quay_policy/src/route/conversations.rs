//! Upstreams that ran the latest calls of conversations.

use {
    indexmap::IndexMap,
    quay_types::{Incarnation, UpstreamId},
};

/// The latest call of a conversation.
#[derive(Debug, Clone, Copy)]
pub(super) struct LastCall {
    /// Upstream that ran the call.
    pub(super) upstream: UpstreamId,
    /// Incarnation of the upstream's sidecar.
    pub(super) incarnation: Incarnation,
    /// Number of blocks in the call's prompt, which the upstream has cached
    /// since.
    pub(super) blocks: usize,
}

/// Latest calls of the conversations that this entry has routed.
///
/// The prefix index only samples the blocks of a prompt; this map tells exactly
/// which upstream holds the history of a call that continues an earlier one.
#[derive(Debug)]
pub(super) struct Conversations {
    /// Latest call by conversation; at most `max` entries.
    calls: IndexMap<u64, LastCall>,
    max: usize,
    /// Position of the entry that was evicted last; advances in a ring.
    hand: usize,
}

impl Conversations {
    /// Creates an empty map of at most `max` conversations; 0 records none.
    pub(super) fn new(max: usize) -> Self {
        Self {
            calls: IndexMap::new(),
            max,
            hand: 0,
        }
    }

    /// Records the upstream that runs a call of a conversation.
    pub(super) fn put(&mut self, conversation: u64, call: LastCall) {
        if self.max == 0 {
            return;
        }
        if self.calls.len() >= self.max && !self.calls.contains_key(&conversation) {
            self.hand = (self.hand + 1) % self.max;
            self.calls.swap_remove_index(self.hand);
        }
        self.calls.insert(conversation, call);
    }

    /// Returns the latest call of a conversation.
    pub(super) fn get(&self, conversation: u64) -> Option<LastCall> {
        self.calls.get(&conversation).copied()
    }
}
