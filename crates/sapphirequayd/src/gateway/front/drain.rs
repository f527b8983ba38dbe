//! Shutdown of a front, as its requests see it.

use {
    quay_policy::DrainPlan,
    quay_types::Time,
    std::{cell::Cell, time::Duration},
    tokio::sync::Notify,
};

/// Shutdown of a front, as its requests see it.
#[derive(Debug, Default)]
pub struct FrontDrain {
    plan: Cell<Option<DrainPlan>>,
    /// Whether requests in progress get their final answer now.
    ended: Cell<bool>,
    ended_notify: Notify,
}

impl FrontDrain {
    /// Begins the shutdown.
    pub fn begin(&self, plan: DrainPlan) {
        self.plan.set(Some(plan));
    }

    /// Whether the shutdown has begun.
    pub const fn has_begun(&self) -> bool {
        self.plan.get().is_some()
    }

    /// Whether a request that may take `time_out` may be sent to an upstream now.
    pub fn admits(&self, now: Time, time_out: Duration, repeatable: bool) -> bool {
        let plan = self.plan.get();
        plan.is_none_or(|plan| plan.admits(now, time_out, repeatable))
    }

    /// Logs that the shutdown cut a request which arrived at `arrived`, before an upstream
    /// had answered it or in the middle of its stream.
    pub fn log_cut(&self, id: &str, arrived: Time) {
        let began = self.plan.get().map(|plan| plan.began());
        let taken = began.map_or(Duration::ZERO, |began| arrived.since(began));
        log::warn!("event=call_cut id={id} taken_ms={}", taken.as_millis());
    }

    /// Has all requests in progress answered now.
    pub fn end(&self) {
        self.ended.set(true);
        self.ended_notify.notify_waiters();
    }

    /// Waits until requests in progress must be answered.
    pub async fn ended(&self) {
        let notified = self.ended_notify.notified();
        tokio::pin!(notified);
        notified.as_mut().enable();
        if !self.ended.get() {
            notified.await;
        }
    }
}
