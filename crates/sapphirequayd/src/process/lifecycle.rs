//! Whether the process takes new requests, and how many are in progress.

use std::{
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// What the process counts.
#[derive(Debug, Default)]
struct State {
    draining: bool,
    /// Requests that a [`InProgressGuard`] stands for.
    in_progress: u32,
}

/// Shared by every role of the process; clones see the same state.
#[derive(Debug, Clone, Default)]
pub struct Lifecycle(Arc<(Mutex<State>, Condvar)>);

/// One request in progress, until it is dropped.
#[derive(Debug)]
pub struct InProgressGuard(Lifecycle);

impl Lifecycle {
    /// Locks the state.
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a new request; `None` while the process is leaving.
    #[must_use]
    pub fn begin(&self) -> Option<InProgressGuard> {
        let mut state = self.state();
        if state.draining {
            return None;
        }
        state.in_progress += 1;
        Some(InProgressGuard(self.clone()))
    }

    /// Takes no new request from now on.
    pub fn drain(&self) {
        self.state().draining = true;
    }

    /// Whether the process is leaving.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.state().draining
    }

    /// Requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> u32 {
        self.state().in_progress
    }

    /// Waits until nothing is in progress, but not longer than `limit`;
    /// returns the requests that still are.
    #[must_use]
    pub fn wait_idle(&self, limit: Duration) -> u32 {
        let until = Instant::now() + limit;
        let mut state = self.state();
        while state.in_progress > 0 {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.0.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        state.in_progress
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.state().in_progress -= 1;
        self.0.0.1.notify_all();
    }
}
