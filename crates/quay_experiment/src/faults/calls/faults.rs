//! Fault injection for the call simulation.

use {
    crate::faults::{
        Promise, Score,
        calls::world::{CallWorld, Message, SIDECARS, draw_freeze},
        random::{chance, draw},
    },
    quay_ledger::{Ledger, LedgerLimits},
    quay_quorum::StateMachine as _,
    quay_types::GroupId,
    rand_chacha::ChaCha8Rng,
};

impl CallWorld {
    /// Injects faults, sometimes several in one step.
    pub(super) fn inject_faults(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        while chance(rng, 25) {
            score.record_fault();
            match draw(rng, 4) {
                0 => self.restart_sidecar(rng),
                1 => {
                    let slot = usize::try_from(draw(rng, SIDECARS)).unwrap_or_default();
                    self.sidecars[slot].frozen_until = self.now + draw_freeze(rng);
                }
                2 => self.fail_request(rng),
                _ => self.replace_ledger(),
            }
        }
    }

    /// Restarts a random sidecar process.
    pub(super) fn restart_sidecar(&mut self, rng: &mut ChaCha8Rng) {
        let slot = usize::try_from(draw(rng, SIDECARS)).unwrap_or_default();
        if self.is_mutated(Promise::AtMostOnce) {
            self.sidecars[slot].lose_permits();
            return;
        }
        self.sidecars[slot].restart();
        // The restart closes the streams to the sidecar.
        let upstream = self.sidecars[slot].upstream;
        self.in_flight.retain(|(_, message)| match message {
            Message::Deliver(_, permit) | Message::Proceed(_, permit) => {
                permit.upstream != upstream
            }
            _ => true,
        });
    }

    /// Freezes a random request, or drops it as if its entry had crashed; the
    /// caller may then retry at another entry.
    pub(super) fn fail_request(&mut self, rng: &mut ChaCha8Rng) {
        if self.requests.is_empty() {
            return;
        }
        let slot = usize::try_from(draw(rng, self.requests.len() as u64)).unwrap_or_default();
        if chance(rng, 500) {
            let until = self.now + draw_freeze(rng);
            self.requests[slot].frozen_until = until;
        } else if let Some((_, request)) = self.requests.shift_remove_index(slot) {
            self.calls[request.call].requests -= 1;
        }
    }

    /// Replaces the leader of the ledger by one restored from a snapshot.
    pub(super) fn replace_ledger(&mut self) {
        let snapshot = self.ledger.snapshot();
        let mut next = Ledger::new(GroupId(1), LedgerLimits::default());
        next.restore(snapshot);
        self.ledger = next;
    }
}
