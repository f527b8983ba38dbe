//! A sidecar and its upstream.

use {
    crate::faults::calls::world::Stream,
    quay_ledger::PermitRegistry,
    quay_types::{Incarnation, Permit, PermitStatus, Time, UpstreamId},
};

/// An attempt that a sidecar holds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Held {
    /// Its permit.
    pub permit: Permit,
    /// Call that it is for, as a slot of the world's calls.
    pub call: usize,
    /// Where its entry listens.
    pub stream: Stream,
    /// When the upstream is done.
    pub ends: Time,
}

/// A sidecar with the real permit book and a fake upstream.
pub(super) struct Sidecar {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Run of the sidecar.
    pub incarnation: Incarnation,
    /// Permits of this run.
    pub book: PermitRegistry,
    /// Attempts that wait for their entries' word, and until when.
    pub ready: Vec<(Time, Held)>,
    /// Attempts that run.
    pub running: Vec<Held>,
    /// Messages wait until then.
    pub frozen_until: Time,
}

impl Sidecar {
    /// The first run of sidecar `slot`.
    pub fn new(slot: u64) -> Self {
        let upstream = UpstreamId(slot + 1);
        let incarnation = Incarnation(1);
        Self {
            upstream,
            incarnation,
            book: PermitRegistry::new(upstream, incarnation),
            ready: Vec::new(),
            running: Vec::new(),
            frozen_until: Time::ZERO,
        }
    }

    /// Starts the next run; what it knew of permits is gone, what the upstream
    /// ran is cut off.
    pub fn restart(&mut self) {
        self.incarnation.0 += 1;
        self.book = PermitRegistry::new(self.upstream, self.incarnation);
        self.ready.clear();
        self.running.clear();
    }

    /// Forgets its permits but keeps its identity: wrong on purpose.
    pub fn forget(&mut self) {
        self.book = PermitRegistry::new(self.upstream, self.incarnation);
        self.ready.clear();
        self.running.clear();
    }

    /// What became of a permit.
    pub fn fate(&mut self, permit: &Permit) -> PermitStatus {
        self.book.query(permit.id, permit.incarnation).0
    }
}
