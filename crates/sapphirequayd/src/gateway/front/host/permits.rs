//! Permits of a front for requests to upstreams that have named a limit.

use {
    super::FrontHost,
    crate::gateway::{
        front::upstreams::Pool,
        messages::{ControlReply, ControlRequest},
    },
    quay_routes::Dialect,
    std::{cell::Cell, time::Duration},
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// Time-out for a request for permits to the control group.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time for which a request waits for permits to arrive.
const PERMIT_WAIT: Duration = Duration::from_millis(100);

/// Least pause between two requests for permits.
const MIN_PERMIT_PAUSE: Duration = Duration::from_millis(20);

/// Pause between two requests for permits for each front that asks for any, which
/// bounds the requests that the leader gets.
const PERMIT_PAUSE_PER_FRONT: Duration = Duration::from_millis(2);

/// Signals between requests and the task that takes permits for them.
#[derive(Debug, Default)]
pub struct PermitSignals {
    /// Notified when permits may be wanted.
    wanted: Notify,
    /// Notified when a reply to a request for permits has been applied.
    arrived: Notify,
    /// Whether the next request for permits has to wait for its pause to end.
    paused: Cell<bool>,
}

impl<D: Dialect> FrontHost<D> {
    /// Signals of the permits for bound requests, or for others.
    fn permit_signals(&self, bound: bool) -> &PermitSignals {
        if bound {
            &self.0.bound_permits
        } else {
            &self.0.permits
        }
    }

    /// Asks for the permits that are wanted for a pool, as soon as the pause between
    /// two requests for permits allows.
    pub fn ask_for_permits(&self, pool: &Pool<'_>) {
        if !self.upstreams().limits().is_empty() {
            self.permit_signals(pool.is_bound()).wanted.notify_one();
        }
    }

    /// Waits for permits for a request. Returns `false` at once if no upstream of its
    /// pool is limited, and during a pause: the reply before it left no permit.
    pub async fn wait_for_permits(&self, pool: &Pool<'_>) -> bool {
        let signals = self.permit_signals(pool.is_bound());
        if !self.upstreams().is_limited(self.now(), pool) || signals.paused.get() {
            return false;
        }
        self.upstreams().want_permit(self.now(), pool);
        self.ask_for_permits(pool);
        timeout(PERMIT_WAIT, signals.arrived.notified())
            .await
            .is_ok()
    }

    /// Requests permits for bound requests, or for others, from the control group when
    /// they are wanted, in a loop.
    pub(super) async fn request_permits(self, bound: bool) {
        let signals = self.permit_signals(bound);
        loop {
            signals.wanted.notified().await;
            let sent = self.now();
            let req = self
                .upstreams()
                .limits()
                .next_request(sent, self.0.reader, bound);
            let Some(req) = req else {
                signals.arrived.notify_waiters();
                continue;
            };
            let asked = ControlRequest::TakePermits(req.clone());
            let reply = self.0.control.request(asked, PERMIT_TIMEOUT).await;
            let now = self.now();
            if let Some(ControlReply::Permits(grant)) = reply {
                self.upstreams().limits().accept(now, sent, &req, &grant);
            }
            let holders = self.upstreams().limits().holders();
            signals.paused.set(true);
            signals.arrived.notify_waiters();
            sleep(MIN_PERMIT_PAUSE.max(PERMIT_PAUSE_PER_FRONT * holders)).await;
            signals.paused.set(false);
        }
    }
}
