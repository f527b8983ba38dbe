//! Conversations that this front has seen, as the next turn needs them.

use {
    bytes::Bytes,
    indexmap::IndexMap,
    quay_types::{Time, TurnId},
    std::time::Duration,
};

/// Time without use after which a conversation is dropped: longer than the
/// tools and pauses between two turns mostly take. The stores have it still.
const UNUSED: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Held {
    conversation: Bytes,
    used: Time,
}

/// Conversations up to a turn; those used longest ago are dropped first.
#[derive(Debug)]
pub struct ConversationCache {
    max_bytes: usize,
    bytes: usize,
    /// In the order of their last use.
    held: IndexMap<TurnId, Held>,
}

impl ConversationCache {
    /// A cache of at most `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            bytes: 0,
            held: IndexMap::new(),
        }
    }

    /// The conversation up to a turn.
    pub fn get(&mut self, now: Time, turn: TurnId) -> Option<Bytes> {
        let held = self.held.shift_remove(&turn)?;
        self.bytes -= held.conversation.len();
        let conversation = held.conversation.clone();
        self.put(now, turn, held.conversation);
        Some(conversation)
    }

    /// Takes a conversation up to a turn.
    pub fn put(&mut self, now: Time, turn: TurnId, conversation: Bytes) {
        self.bytes += conversation.len();
        let held = Held {
            conversation,
            used: now,
        };
        if let Some(old) = self.held.shift_remove(&turn) {
            self.bytes -= old.conversation.len();
        }
        self.held.insert(turn, held);
        while self.bytes > self.max_bytes && self.drop_oldest() {}
    }

    /// Drops what was not used for a while.
    pub fn tick(&mut self, now: Time) {
        let unused = |held: &Held| now.since(held.used) > UNUSED;
        while self.held.first().is_some_and(|(_, held)| unused(held)) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) -> bool {
        let oldest = self.held.shift_remove_index(0);
        let bytes = oldest.as_ref().map(|(_, held)| held.conversation.len());
        self.bytes -= bytes.unwrap_or_default();
        oldest.is_some()
    }
}
