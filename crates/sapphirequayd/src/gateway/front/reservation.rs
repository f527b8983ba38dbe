//! A reservation of a program's budget, which is settled whatever happens.

use {
    crate::gateway::store::StoreClient,
    quay_turns::{Charge, ChargeStatus, Record},
    quay_types::{AttemptTag, ProgramTag, Tokens},
    std::{cell::Cell, time::Duration},
    tokio::task::spawn_local,
};

/// How long a settlement is tried; what is not settled stays charged in full.
const SETTLE_WITHIN: Duration = Duration::from_secs(5);

/// A reservation; what was used when it is dropped is what the attempt costs.
#[derive(Debug)]
pub struct Reservation {
    stores: StoreClient,
    program: ProgramTag,
    attempt: AttemptTag,
    /// Tokens handed to the caller.
    used: Cell<u64>,
}

impl Reservation {
    /// A reservation that has used nothing yet.
    pub const fn new(stores: StoreClient, program: ProgramTag, attempt: AttemptTag) -> Self {
        Self {
            stores,
            program,
            attempt,
            used: Cell::new(0),
        }
    }

    /// Tokens have been handed to the caller, in all.
    pub fn used(&self, tokens: u64) {
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
            if !stores.write(record, SETTLE_WITHIN).await {
                log::warn!("event=charge_not_settled program={program} charge={charge:?}");
            }
        });
    }
}
