//! Memory for responses that a front holds until they are complete.

use std::{cell::Cell, rc::Rc};

/// Memory in bytes for the responses of all requests of a front.
const MAX_BYTES: usize = 16 << 20;

/// Memory that the responses of all requests share. Clones refer to the same memory.
#[derive(Debug, Clone, Default)]
pub struct BufferSpace(Rc<Cell<usize>>);

impl BufferSpace {
    /// Creates the share of a response, which is empty.
    #[must_use]
    pub fn share(&self) -> BufferShare {
        BufferShare {
            used: Rc::clone(&self.0),
            own: 0,
        }
    }
}

/// Share of one response. Dropping it frees the memory.
#[derive(Debug)]
pub struct BufferShare {
    /// Bytes that all responses hold.
    used: Rc<Cell<usize>>,
    own: usize,
}

impl BufferShare {
    /// Sets the number of bytes that the response holds. Returns `false`, without a
    /// change, if these are too many.
    ///
    /// A response may hold as much as all others leave free, so that several
    /// responses without end leave memory for those of others.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let others = self.used.get() - self.own;
        let free = MAX_BYTES.saturating_sub(self.used.get());
        if bytes > self.own && bytes > free {
            return false;
        }
        self.used.set(others + bytes);
        self.own = bytes;
        true
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.used.set(self.used.get() - self.own);
    }
}
