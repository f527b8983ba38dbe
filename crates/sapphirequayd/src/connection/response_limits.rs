//! Bounds of the responses that a sidecar holds.

use {
    crate::{
        gateway::{HostMemory, MemoryGuard},
        settings::SidecarSettings,
    },
    quay_policy::MemoryClass,
};

/// Bytes of an unfinished response that are not counted, so that small ones go on while
/// memory is short.
const SMALL_BYTES: usize = 16 << 10;

/// Copies of what is held that parsing it and sending it on make, at least.
pub const RESPONSE_COPIES: usize = 3;

/// Bounds of responses. Clones share the memory.
#[derive(Debug, Clone)]
pub struct ResponseLimits {
    /// Bytes that may come without an event that continues the response.
    pub event_bytes: usize,
    /// Bytes of a response.
    pub response_bytes: usize,
    memory: HostMemory,
}

impl ResponseLimits {
    /// Creates the bounds that settings state, with the memory that all responses share.
    #[must_use]
    pub fn new(settings: &SidecarSettings, memory: HostMemory) -> Self {
        let bytes = |stated| usize::try_from(stated).unwrap_or(usize::MAX);
        Self {
            event_bytes: bytes(settings.max_event_bytes),
            response_bytes: bytes(settings.max_response_bytes),
            memory,
        }
    }

    /// Creates the reservation of a response, which is empty.
    #[must_use]
    pub fn reservation(&self) -> MemoryGuard {
        self.memory.guard(MemoryClass::Responses, None)
    }

    /// Sets the number of bytes that are held under a reservation. Returns `false`,
    /// without a change, if there is no room.
    pub fn hold(&self, held: &mut MemoryGuard, bytes: usize) -> bool {
        let counted = if bytes > SMALL_BYTES {
            (bytes * (1 + RESPONSE_COPIES)) as u64
        } else {
            0
        };
        self.memory.resize(held, counted, |_| 0).is_ok()
    }
}
