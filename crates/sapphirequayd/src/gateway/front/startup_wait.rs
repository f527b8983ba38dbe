//! Waiting for the routing table and upstreams while a front starts.
//!
//! After a power loss the fronts are up before the control group has a leader.
//! Requests that arrive then wait for the missing state: refused requests would
//! be retried too early and abandoned. The wait is meant for a restart of the
//! whole system; a front that has run for a while refuses at once.

use {
    quay_types::Time,
    std::time::Duration,
    tokio::{sync::Notify, time::timeout},
};

/// Startup phase of a front, during which requests wait for missing state.
#[derive(Debug)]
pub struct StartupWait {
    /// End of the startup phase.
    ends: Time,
    changed: Notify,
}

impl StartupWait {
    /// Creates a startup phase that begins at `now` and lasts for `span`.
    #[must_use]
    pub fn new(now: Time, span: Duration) -> Self {
        Self {
            ends: now + span,
            changed: Notify::new(),
        }
    }

    /// Wakes all waiting requests, which check their condition again.
    pub fn notify(&self) {
        self.changed.notify_waiters();
    }

    /// Calls `look` until it returns a value, again after each
    /// [`notify`](Self::notify), until the startup phase is over or `ends` has
    /// passed.
    pub async fn wait_for<T>(
        &self,
        ends: Time,
        now: impl Fn() -> Time,
        look: impl Fn() -> Option<T>,
    ) -> Option<T> {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(found) = look() {
                return Some(found);
            }
            let left = self.ends.min(ends).since(now());
            if left.is_zero() || timeout(left, changed).await.is_err() {
                return look();
            }
        }
    }
}
