//! Permits of a front for requests to upstreams that have named a limit.

use {
    super::FrontHost,
    crate::gateway::{
        front::upstreams::Pool,
        messages::{ControlReply, ControlRequest},
    },
    quay_routes::Dialect,
    std::time::Duration,
    tokio::time::{sleep, timeout},
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

impl<D: Dialect> FrontHost<D> {
    /// Asks for the permits that are wanted, as soon as the pause between two
    /// requests for permits allows.
    pub fn ask_for_permits(&self) {
        if !self.upstreams().limits().is_empty() {
            self.0.permits_wanted.notify_one();
        }
    }

    /// Waits for permits for a request. Returns `false` at once if no upstream of its
    /// pool is limited, and during a pause: the reply before it left no
    /// permit.
    pub async fn wait_for_permits(&self, pool: &Pool<'_>) -> bool {
        if !self.upstreams().is_limited(self.now(), pool) || self.0.permits_paused.get() {
            return false;
        }
        self.upstreams().want_permit(self.now(), pool);
        self.ask_for_permits();
        timeout(PERMIT_WAIT, self.0.permits_arrived.notified())
            .await
            .is_ok()
    }

    /// Requests permits from the control group when they are wanted, in a loop.
    pub(super) async fn request_permits(self) {
        loop {
            self.0.permits_wanted.notified().await;
            let sent = self.now();
            let req = self.upstreams().limits().next_request(sent, self.0.reader);
            let Some(req) = req else {
                self.0.permits_arrived.notify_waiters();
                continue;
            };
            let asked = ControlRequest::TakePermits(req.clone());
            let reply = self.0.control.request(asked, PERMIT_TIMEOUT).await;
            let now = self.now();
            if let Some(ControlReply::Permits(grant)) = reply {
                self.upstreams().limits().accept(now, sent, &req, &grant);
            }
            let holders = self.upstreams().limits().holders();
            self.0.permits_paused.set(true);
            self.0.permits_arrived.notify_waiters();
            sleep(MIN_PERMIT_PAUSE.max(PERMIT_PAUSE_PER_FRONT * holders)).await;
            self.0.permits_paused.set(false);
        }
    }
}
