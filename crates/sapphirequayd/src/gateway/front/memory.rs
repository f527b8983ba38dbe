//! Memory of a front: its byte budget, and its cache, which is evicted for others.

use {
    super::conversation_cache::{ConversationCache, ConversationKey},
    crate::gateway::host_memory::{HostMemory, MemoryGuard},
    bytes::Bytes,
    quay_policy::{MemoryClass, MemoryHolder, Shortage},
    quay_types::Time,
    std::{cell::RefCell, rc::Rc},
};

/// Memory of a front. Clones refer to the same memory.
#[derive(Debug, Clone, Default)]
pub struct FrontMemory {
    host: HostMemory,
    conversations: Rc<RefCell<ConversationCache>>,
}

impl FrontMemory {
    /// Creates the memory of a front with a cache of at most `cache_bytes`.
    #[must_use]
    pub fn new(host: HostMemory, cache_bytes: usize) -> Self {
        Self {
            host,
            conversations: Rc::new(RefCell::new(ConversationCache::new(cache_bytes))),
        }
    }

    /// Budget of the host.
    #[must_use]
    pub const fn host(&self) -> &HostMemory {
        &self.host
    }

    /// Whether there is a budget.
    #[must_use]
    pub const fn is_limited(&self) -> bool {
        self.host.is_limited()
    }

    /// Reserves bytes, for which cached conversations are evicted.
    ///
    /// # Errors
    ///
    /// If there is no room, or none in a share.
    pub fn reserve(
        &self,
        class: MemoryClass,
        holder: Option<MemoryHolder>,
        bytes: usize,
    ) -> Result<MemoryGuard, Shortage> {
        let evict = |bytes| self.conversations.borrow_mut().evict(bytes);
        self.host.reserve(class, holder, bytes as u64, evict)
    }

    /// Sets the size of a reservation. Returns `false`, without a change, if there is
    /// no room.
    pub fn resize(&self, guard: &mut MemoryGuard, bytes: usize) -> bool {
        let evict = |bytes| self.conversations.borrow_mut().evict(bytes);
        self.host.resize(guard, bytes as u64, evict).is_ok()
    }

    /// Returns a cached conversation.
    #[must_use]
    pub fn cached(&self, now: Time, key: ConversationKey) -> Option<Bytes> {
        self.conversations.borrow_mut().get(now, key)
    }

    /// Caches a conversation that is counted already.
    pub fn cache(&self, now: Time, key: ConversationKey, conversation: Bytes) {
        self.conversations.borrow_mut().put(now, key, conversation);
    }

    /// Caches a conversation if there is room.
    pub fn cache_if_room(&self, now: Time, key: ConversationKey, conversation: Bytes) {
        let reserved = self.reserve(MemoryClass::Conversations, None, conversation.len());
        if let Ok(guard) = reserved {
            self.cache(now, key, guard.attach(conversation));
        }
    }

    /// Evicts unused conversations, and disconnects slow readers if memory is short.
    pub fn tick(&self, now: Time) {
        self.conversations.borrow_mut().tick(now);
        self.host.tick();
    }
}
