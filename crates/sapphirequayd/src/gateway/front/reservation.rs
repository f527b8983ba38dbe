//! Reservation of a program's budget, settled when dropped.

use {
    crate::gateway::store::StoreClient,
    quay_turns::{Charge, ChargeStatus, Record},
    quay_types::{AttemptTag, ProgramTag, Tokens},
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
    program: ProgramTag,
    attempt: AttemptTag,
    /// Number of tokens sent to the caller.
    used: Cell<u64>,
}

impl Reservation {
    /// Creates a reservation with no tokens used.
    pub const fn new(stores: StoreClient, program: ProgramTag, attempt: AttemptTag) -> Self {
        Self {
            stores,
            program,
            attempt,
            used: Cell::new(0),
        }
    }

    /// Sets the total number of tokens sent to the caller.
    pub fn set_used(&self, tokens: u64) {
        self.used.set(tokens);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let charge = Charge {
            attempt: self.attempt,
            standing: ChargeStatus::Settled,
            tokens: Tokens(self.used.get()),
        };
        let (stores, program) = (self.stores.clone(), self.program);
        spawn_local(async move {
            let record = Record::Charge(program, charge);
            if !stores.write(program, record, SETTLE_TIMEOUT).await {
                log::warn!("event=charge_not_settled program={program} charge={charge:?}");
            }
        });
    }
}
