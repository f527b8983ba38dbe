//! Bound of the memory that long requests of peers take.

use {
    std::sync::Arc,
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// Bytes that one permit stands for.
const PERMIT_BYTES: usize = 1 << 10;

/// Memory for the long requests that an endpoint reads and serves at a time. Further ones
/// wait unread, which slows their senders down. Clones share the memory.
#[derive(Debug, Clone)]
pub struct FrameMemory {
    permits: Arc<Semaphore>,
    /// Number of permits, free or not.
    all: u32,
}

/// Reserved part of a [`FrameMemory`], until it is dropped.
#[derive(Debug)]
pub struct FramePermit(#[allow(dead_code)] OwnedSemaphorePermit);

impl FrameMemory {
    /// Memory of `bytes` bytes.
    #[must_use]
    pub fn new(bytes: u64) -> Self {
        let all = bytes / PERMIT_BYTES as u64;
        let all = u32::try_from(all.max(1)).unwrap_or(u32::MAX);
        // A semaphore has fewer permits than a `u32` can count on 32-bit machines.
        let all = all.min(u32::MAX >> 4);
        Self {
            permits: Arc::new(Semaphore::new(all as usize)),
            all,
        }
    }

    /// Waits until there is room for `bytes` bytes, in the order of the calls. What is larger
    /// than all of the memory takes all of it. Returns `None` if the memory is closed.
    pub async fn reserve(&self, bytes: usize) -> Option<FramePermit> {
        let permits = u32::try_from(bytes.div_ceil(PERMIT_BYTES)).unwrap_or(u32::MAX);
        let permits = Arc::clone(&self.permits).acquire_many_owned(permits.min(self.all));
        permits.await.ok().map(FramePermit)
    }
}
