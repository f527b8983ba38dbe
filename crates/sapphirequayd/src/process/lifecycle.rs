//! Drain state of the process and the number of requests in progress.

use std::{
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

/// State shared by the roles of the process.
#[derive(Debug, Default)]
struct State {
    draining: bool,
    /// Whether requests in progress must get their final answer now.
    ended: bool,
    /// Number of live [`InProgressGuard`]s.
    in_progress: u32,
}

/// Drain state and request count of the process; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Lifecycle(Arc<(Mutex<State>, Condvar)>);

/// Counts one request as in progress until the guard is dropped.
#[derive(Debug)]
pub struct InProgressGuard(Lifecycle);

impl Lifecycle {
    /// Locks the state.
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a new request; returns `None` if the process is draining.
    #[must_use]
    pub fn begin(&self) -> Option<InProgressGuard> {
        let mut state = self.state();
        if state.draining {
            return None;
        }
        state.in_progress += 1;
        Some(InProgressGuard(self.clone()))
    }

    /// Starts draining: new requests are refused from now on.
    pub fn drain(&self) {
        self.state().draining = true;
    }

    /// Whether the process is draining.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.state().draining
    }

    /// Ends the requests in progress: they get their final answer as soon as they notice.
    pub fn end(&self) {
        self.state().ended = true;
    }

    /// Whether the requests in progress must end now.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.state().ended
    }

    /// Number of requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> u32 {
        self.state().in_progress
    }

    /// Waits until no request is in progress, but at most for `limit`; returns the
    /// number of requests still in progress.
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
