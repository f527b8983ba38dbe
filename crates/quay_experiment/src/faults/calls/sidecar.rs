//! A simulated sidecar and its upstream.

use {
    crate::faults::calls::world::Stream,
    quay_ledger::PermitRegistry,
    quay_types::{Incarnation, Permit, PermitStatus, Time, UpstreamId},
};

/// An attempt held by a sidecar.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeldAttempt {
    /// The permit of the attempt.
    pub permit: Permit,
    /// Index of the call in the calls of the world.
    pub call: usize,
    /// Stream on which the entry expects the result.
    pub stream: Stream,
    /// Time at which the upstream completes the attempt.
    pub ends: Time,
}

/// A sidecar with the real permit registry and a fake upstream.
pub(super) struct Sidecar {
    /// Upstream that the sidecar serves.
    pub upstream: UpstreamId,
    /// Incarnation of the sidecar, increased by each restart.
    pub incarnation: Incarnation,
    /// Permits of this incarnation.
    pub registry: PermitRegistry,
    /// Attempts that wait for confirmation by their entries, with the time at
    /// which the wait expires.
    pub ready: Vec<(Time, HeldAttempt)>,
    /// Running attempts.
    pub running: Vec<HeldAttempt>,
    /// Time until which the sidecar processes no messages.
    pub frozen_until: Time,
}

impl Sidecar {
    /// Creates sidecar `slot` with its first incarnation.
    pub fn new(slot: u64) -> Self {
        let upstream = UpstreamId(slot + 1);
        let incarnation = Incarnation(1);
        Self {
            upstream,
            incarnation,
            registry: PermitRegistry::new(upstream, incarnation),
            ready: Vec::new(),
            running: Vec::new(),
            frozen_until: Time::ZERO,
        }
    }

    /// Starts the next incarnation; its permits are lost and running attempts
    /// are aborted.
    pub fn restart(&mut self) {
        self.incarnation.0 += 1;
        self.registry = PermitRegistry::new(self.upstream, self.incarnation);
        self.ready.clear();
        self.running.clear();
    }

    /// Loses the permits but keeps the incarnation; deliberately wrong.
    pub fn lose_permits(&mut self) {
        self.registry = PermitRegistry::new(self.upstream, self.incarnation);
        self.ready.clear();
        self.running.clear();
    }

    /// Returns the status of a permit.
    pub fn permit_status(&mut self, permit: &Permit) -> PermitStatus {
        self.registry.query(permit.id, permit.incarnation).0
    }
}
