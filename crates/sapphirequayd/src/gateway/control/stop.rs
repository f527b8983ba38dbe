//! Stop of a control host.

use {
    super::ControlHost,
    crate::{gateway::server_stop::StopPhase, process::GroupMsg},
    quay_policy::{DrainPlan, DrainSettings},
    quay_routes::Dialect,
    std::time::Duration,
    tokio::time::timeout,
};

/// Maximum length of a stop: the lingering, a request that waits for a quorum here and
/// then at the leader, and the reserve of its plan.
const MAX_STOP_TIME: Duration = Duration::from_secs(3);

impl<D: Dialect> ControlHost<D> {
    /// Stops within `grace`: answers the requests that operators and upstreams have sent,
    /// then those of other hosts, and closes the connections. Until then it serves on, and
    /// leads if it led.
    pub async fn stop(&self, grace: Duration) {
        let grace = grace.min(MAX_STOP_TIME);
        let plan = DrainPlan::new(self.now(), grace, &DrainSettings::default());
        log::info!("event=stop_began grace_ms={}", grace.as_millis());
        self.stop.enter(StopPhase::Closing);
        let served = plan.ends().since(self.now());
        let closed = timeout(served, self.stop.reached(StopPhase::Closed)).await;
        if closed.is_err() {
            self.stop.enter(StopPhase::Ending);
            let left = plan.exits().since(self.now()) / 2;
            let _ = timeout(left, self.stop.reached(StopPhase::Closed)).await;
        }
        self.leaves.set(true);
        self.updates.notify_waiters();
        let answered = self.links.stop(plan.exits().since(self.now())).await;
        // Reads that wait for a quorum would hold up the end of the process.
        self.group.send(GroupMsg::Stop);
        log::info!(
            "event=stop_ended closed={} answered={answered}",
            self.stop.phase() == StopPhase::Closed
        );
    }
}
