//! Cache of conversations, in the form that the next turn needs as its prefix.

use {
    bytes::Bytes,
    indexmap::IndexMap,
    quay_types::{GroupId, Time, TurnId},
    std::time::Duration,
};

/// Time without use after which a conversation is evicted: longer than tool
/// calls and pauses between two turns usually take. The stores still have it.
const MAX_UNUSED: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct Entry {
    conversation: Bytes,
    used: Time,
}

/// Last turn of a conversation, and the store group that holds the conversation.
pub type ConversationKey = (GroupId, TurnId);

/// LRU cache of conversations.
#[derive(Debug, Default)]
pub struct ConversationCache {
    max_bytes: usize,
    bytes: usize,
    /// Entries in the order of their last use, oldest first.
    entries: IndexMap<ConversationKey, Entry>,
}

impl ConversationCache {
    /// Creates a cache of at most `max_bytes` of conversations.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            bytes: 0,
            entries: IndexMap::new(),
        }
    }

    /// Largest size of all conversations together, in bytes.
    #[must_use]
    pub const fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Returns the conversation up to a turn and marks it as used.
    pub fn get(&mut self, now: Time, key: ConversationKey) -> Option<Bytes> {
        let entry = self.entries.shift_remove(&key)?;
        self.bytes -= entry.conversation.len();
        let conversation = entry.conversation.clone();
        self.put(now, key, entry.conversation);
        Some(conversation)
    }

    /// Inserts the conversation up to a turn; evicts others if there is no
    /// room.
    pub fn put(&mut self, now: Time, key: ConversationKey, conversation: Bytes) {
        self.bytes += conversation.len();
        let entry = Entry {
            conversation,
            used: now,
        };
        if let Some(old) = self.entries.shift_remove(&key) {
            self.bytes -= old.conversation.len();
        }
        self.entries.insert(key, entry);
        while self.bytes > self.max_bytes && self.evict_oldest() {}
    }

    /// Evicts conversations that were not used for `MAX_UNUSED`.
    pub fn tick(&mut self, now: Time) {
        let unused = |entry: &Entry| now.since(entry.used) > MAX_UNUSED;
        while self.entries.first().is_some_and(|(_, entry)| unused(entry)) {
            self.evict_oldest();
        }
    }

    /// Evicts the oldest conversations until at least `bytes` are evicted or none is
    /// left. Returns the size of those that are left.
    pub fn evict(&mut self, bytes: u64) -> u64 {
        let target = (self.bytes as u64).saturating_sub(bytes);
        while self.bytes as u64 > target && self.evict_oldest() {}
        self.bytes as u64
    }

    fn evict_oldest(&mut self) -> bool {
        let oldest = self.entries.shift_remove_index(0);
        let bytes = oldest.as_ref().map(|(_, entry)| entry.conversation.len());
        self.bytes -= bytes.unwrap_or_default();
        oldest.is_some()
    }
}
