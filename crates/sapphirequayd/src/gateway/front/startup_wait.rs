//! What a front that has just started does not know yet.
//!
//! After a loss of power the fronts are back before the control group has a
//! leader. Requests of those moments wait for what is about to come: refused,
//! they would come back too early and be given up. The load that this answers
//! is a restart of everything; a front that has run for a while refuses at once.

use {
    quay_types::Time,
    std::time::Duration,
    tokio::{sync::Notify, time::timeout},
};

/// The first moments of a front.
#[derive(Debug)]
pub struct StartupWait {
    /// When they are over.
    ends: Time,
    learned: Notify,
}

impl StartupWait {
    /// A front that starts at `now` and may take `span` until it knows all.
    #[must_use]
    pub fn new(now: Time, span: Duration) -> Self {
        Self {
            ends: now + span,
            learned: Notify::new(),
        }
    }

    /// Something was learned: whoever waits looks again.
    pub fn notify(&self) {
        self.learned.notify_waiters();
    }

    /// Looks for something, again whenever there is news, until the first
    /// moments are over or `ends` has come.
    pub async fn wait_for<T>(
        &self,
        ends: Time,
        now: impl Fn() -> Time,
        look: impl Fn() -> Option<T>,
    ) -> Option<T> {
        loop {
            let rung = self.learned.notified();
            tokio::pin!(rung);
            rung.as_mut().enable();
            if let Some(found) = look() {
                return Some(found);
            }
            let left = self.ends.min(ends).since(now());
            if left.is_zero() || timeout(left, rung).await.is_err() {
                return look();
            }
        }
    }
}
