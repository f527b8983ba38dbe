//! Memory of a front: its byte budget, and its cache, which is evicted for others.

use {
    super::{
        conversation_cache::{ConversationCache, ConversationKey},
        refusal::Refusal,
    },
    crate::{
        gateway::{
            host_memory::{HostMemory, MemoryGuard},
            request_body::ReserveMemory,
        },
        process::Clock,
        settings::FrontSettings,
    },
    bytes::{Bytes, BytesMut},
    quay_policy::{MemoryClass, MemoryHolder, Shortage},
    quay_turns::TurnRecord,
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
    /// Creates the memory of a front by its settings.
    #[must_use]
    pub fn of(settings: &FrontSettings, clock: Clock) -> Self {
        let limits = settings.limits();
        // At most 3/8, so that the cache alone does not make memory short.
        let cache = limits.budget.map_or(u64::MAX, |budget| budget / 8 * 3);
        let cache = usize::try_from(cache).unwrap_or(usize::MAX);
        Self::new(
            HostMemory::new(clock, limits),
            settings.chain_cache_bytes.min(cache),
        )
    }

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
    pub fn is_limited(&self) -> bool {
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

    /// Joins the parts of a conversation, which count for the caller.
    fn join_for_caller(
        &self,
        holder: Option<MemoryHolder>,
        parts: &[&[u8]],
    ) -> Result<Bytes, Refusal> {
        let len = parts.iter().map(|part| part.len()).sum();
        let reserved = self.reserve(MemoryClass::Requests, holder, len);
        let guard = reserved.map_err(|_| Refusal::NoMemory)?;
        Ok(guard.attach(join(parts, len)))
    }

    /// Joins the turns of a conversation. The second value tells whether there is room
    /// to cache it; otherwise it counts for the caller.
    ///
    /// # Errors
    ///
    /// If there is no room for either.
    pub fn join_history(
        &self,
        holder: Option<MemoryHolder>,
        turns: &[TurnRecord],
    ) -> Result<(Bytes, bool), Refusal> {
        let parts = turns.iter().flat_map(|it| [&*it.input, &*it.output]);
        let parts = &parts.collect::<Vec<&[u8]>>();
        let len = parts.iter().map(|part| part.len()).sum();
        match self.reserve(MemoryClass::Conversations, None, len) {
            Ok(guard) => Ok((guard.attach(join(parts, len)), true)),
            Err(_) => Ok((self.join_for_caller(holder, parts)?, false)),
        }
    }

    /// Largest size of a conversation that can be cached, in bytes.
    #[must_use]
    pub fn cache_bytes(&self) -> u64 {
        self.conversations.borrow().max_bytes() as u64
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

    /// Joins the parts of a conversation and caches it if there is room.
    pub fn cache_if_room(&self, now: Time, key: ConversationKey, parts: &[&[u8]]) {
        let len = parts.iter().map(|part| part.len()).sum();
        let reserved = self.reserve(MemoryClass::Conversations, None, len);
        if let Ok(guard) = reserved {
            self.cache(now, key, guard.attach(join(parts, len)));
        }
    }

    /// Evicts unused conversations, and ends connections whose callers are too slow.
    /// `closing` tells whether the front shuts down.
    pub fn tick(&self, now: Time, closing: bool) {
        self.conversations.borrow_mut().tick(now);
        self.host.tick(closing);
    }
}

impl ReserveMemory for FrontMemory {
    fn reserve_bytes(
        &self,
        class: MemoryClass,
        holder: Option<MemoryHolder>,
        bytes: usize,
    ) -> Result<MemoryGuard, Shortage> {
        self.reserve(class, holder, bytes)
    }
}

fn join(parts: &[&[u8]], len: usize) -> Bytes {
    let mut joined = BytesMut::with_capacity(len);
    for part in parts {
        joined.extend_from_slice(part);
    }
    joined.freeze()
}
