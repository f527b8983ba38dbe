//! Memory for responses that a front holds until they are complete.

use {
    super::memory::FrontMemory,
    crate::gateway::host_memory::MemoryGuard,
    bytes::Bytes,
    quay_policy::{MemoryClass, MemoryHolder},
    std::{cell::Cell, rc::Rc},
};

/// Memory in bytes for the responses of all requests of a front without a budget.
const MAX_BYTES: usize = 16 << 20;

/// Memory that the responses of all requests share. Clones refer to the same memory.
#[derive(Debug, Clone, Default)]
pub struct BufferSpace {
    used: Rc<Cell<usize>>,
    memory: FrontMemory,
}

impl BufferSpace {
    /// Creates a space that is part of a front's memory.
    #[must_use]
    pub fn new(memory: FrontMemory) -> Self {
        Self {
            used: Rc::default(),
            memory,
        }
    }

    /// Creates the share of a response, which is empty.
    #[must_use]
    pub fn share(&self) -> BufferShare {
        self.share_for(None)
    }

    /// Creates the share of a response for a caller, which is empty.
    #[must_use]
    pub fn share_for(&self, holder: Option<MemoryHolder>) -> BufferShare {
        let guard = self.memory.host().guard(MemoryClass::Responses, holder);
        BufferShare {
            used: Rc::clone(&self.used),
            own: 0,
            memory: self.memory.clone(),
            guard,
        }
    }
}

/// Share of one response. Dropping it frees the memory.
#[derive(Debug)]
pub struct BufferShare {
    /// Bytes that all responses hold.
    used: Rc<Cell<usize>>,
    own: usize,
    memory: FrontMemory,
    /// Reservation in the budget of the front.
    guard: MemoryGuard,
}

impl BufferShare {
    /// Sets the number of bytes that the response holds. Returns `false`, without a
    /// change, if these are too many.
    ///
    /// Without a budget a response may hold as much as all others leave free, so that
    /// several responses without end leave memory for those of others.
    pub fn resize(&mut self, bytes: usize) -> bool {
        if self.memory.is_limited() {
            return self.memory.resize(&mut self.guard, bytes);
        }
        let others = self.used.get() - self.own;
        let free = MAX_BYTES.saturating_sub(self.used.get());
        if bytes > self.own && bytes > free {
            return false;
        }
        self.used.set(others + bytes);
        self.own = bytes;
        true
    }

    /// Returns data of the response that counts in the budget until its last clone is
    /// dropped.
    pub fn hold(&mut self, data: Bytes) -> Bytes {
        std::mem::take(&mut self.guard).attach(data)
    }

    /// Returns a complete response that counts in the budget until the caller has
    /// taken it.
    pub fn deliver(&mut self, response: Bytes) -> Bytes {
        let mut guard = std::mem::take(&mut self.guard);
        guard.wait_for_caller();
        guard.attach(response)
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.used.set(self.used.get() - self.own);
    }
}
