//! What goes wrong.

use {
    crate::faults::{
        Promise, Score,
        calls::world::{CallWorld, Message, SIDECARS, freeze},
        chance::{chance, draw},
    },
    quay_ledger::{Ledger, LedgerLimits},
    quay_quorum::StateMachine as _,
    quay_types::GroupId,
    rand_chacha::ChaCha8Rng,
};

impl CallWorld {
    /// Something goes wrong, now and then two things at once.
    pub(super) fn faults(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        while chance(rng, 25) {
            score.fault();
            match draw(rng, 4) {
                0 => self.restart_sidecar(rng),
                1 => {
                    let slot = usize::try_from(draw(rng, SIDECARS)).unwrap_or_default();
                    self.sidecars[slot].frozen_until = self.now + freeze(rng);
                }
                2 => self.strike_request(rng),
                _ => self.replace_ledger(),
            }
        }
    }

    /// A sidecar process dies and starts again.
    pub(super) fn restart_sidecar(&mut self, rng: &mut ChaCha8Rng) {
        let slot = usize::try_from(draw(rng, SIDECARS)).unwrap_or_default();
        if self.wrong(Promise::AtMostOnce) {
            self.sidecars[slot].forget();
            return;
        }
        self.sidecars[slot].restart();
        // Its streams die with it.
        let upstream = self.sidecars[slot].upstream;
        self.wire.retain(|(_, message)| match message {
            Message::Deliver(_, permit) | Message::Proceed(_, permit) => {
                permit.upstream != upstream
            }
            _ => true,
        });
    }

    /// An entry dies with a request, or stands still; its caller goes elsewhere.
    pub(super) fn strike_request(&mut self, rng: &mut ChaCha8Rng) {
        if self.requests.is_empty() {
            return;
        }
        let slot = usize::try_from(draw(rng, self.requests.len() as u64)).unwrap_or_default();
        if chance(rng, 500) {
            let until = self.now + freeze(rng);
            self.requests[slot].frozen_until = until;
        } else if let Some((_, request)) = self.requests.shift_remove_index(slot) {
            self.calls[request.call].requests -= 1;
        }
    }

    /// The ledger's leader is replaced by one that starts from a snapshot.
    pub(super) fn replace_ledger(&mut self) {
        let snapshot = self.ledger.snapshot();
        let mut next = Ledger::new(GroupId(1), LedgerLimits::default());
        next.restore(snapshot);
        self.ledger = next;
    }
}
