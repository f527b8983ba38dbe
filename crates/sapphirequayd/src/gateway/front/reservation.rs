//! Reservation of a program's budget, settled when dropped.

use {
    crate::gateway::store::StoreClient,
    quay_turns::{Charge, ChargeStatus, Record},
    quay_types::{AttemptTag, ProgramTag, ScopedId, Tokens},
    std::{cell::Cell, time::Duration},
    tokio::task::spawn_local,
};

/// Time-out for writing a settlement; an unsettled reservation stays charged in
/// full.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Reservation of one attempt. Dropping it settles the attempt for the tokens
/// used by then, so that no way out of a request leaves it unsettled.
#[derive(Debug)]
pub struct Reservation {
    stores: StoreClient,
    /// Program whose stores hold the reservation.
    placement: ProgramTag,
    /// Programs that the reservation is recorded under.
    programs: ScopedId<ProgramTag>,
    attempt: AttemptTag,
    /// Number of tokens reserved.
    reserved: Tokens,
    /// Number of tokens sent to the caller.
    used: Cell<u64>,
    settled: bool,
}

impl Reservation {
    /// Creates a reservation with no tokens used.
    pub const fn new(
        stores: StoreClient,
        (placement, programs): (ProgramTag, ScopedId<ProgramTag>),
        attempt: AttemptTag,
        reserved: Tokens,
    ) -> Self {
        Self {
            stores,
            placement,
            programs,
            attempt,
            reserved,
            used: Cell::new(0),
            settled: false,
        }
    }

    /// Whether `tokens` exceed the reservation by more than `rounding`.
    pub const fn is_exceeded_by(&self, tokens: u64, rounding: u64) -> bool {
        tokens > self.reserved.0 + rounding
    }

    /// Sets the total number of tokens sent to the caller.
    pub fn set_used(&self, tokens: u64) {
        self.used.set(tokens);
    }

    /// Records that settle the attempt for the tokens used by now.
    pub fn settlement(&self) -> Vec<Record> {
        let charge = Charge {
            attempt: self.attempt,
            standing: ChargeStatus::Settled,
            tokens: Tokens(self.used.get()),
        };
        let programs = self.programs.recorded();
        programs.map(|it| Record::Charge(it, charge)).collect()
    }

    /// Records that [`Reservation::settlement`] was written.
    pub fn mark_settled(&mut self) {
        self.settled = true;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let (stores, placement) = (self.stores.clone(), self.placement);
        let records = self.settlement();
        spawn_local(async move {
            let written = stores.write(placement, records.clone(), SETTLE_TIMEOUT);
            if !written.await {
                log::warn!("event=charge_not_settled program={placement} charge={records:?}");
            }
        });
    }
}
