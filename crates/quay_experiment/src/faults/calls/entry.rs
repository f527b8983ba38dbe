//! A request on its way through an entry.

use quay_types::{Outcome, Permit, Time};

/// What a request waits for.
#[derive(Debug, Clone)]
pub(super) enum Waits {
    /// For its next step, which it may take now.
    Turn,
    /// For the ledger's answer to `begin`.
    Begin,
    /// For the end of its attempt at the sidecar.
    Attempt(Permit),
    /// For what a sidecar says of a permit; the answer may not come.
    Inquiry(Permit),
    /// For the ledger to record an outcome.
    Settle(Permit, Outcome),
}

/// A request on its way through an entry.
#[derive(Debug, Clone)]
pub(super) struct Request {
    /// Slot of its call.
    pub call: usize,
    /// What it waits for.
    pub waits: Waits,
    /// Counts the questions that it has asked.
    pub question: u32,
    /// When it last asked the ledger for leave.
    pub asked: Time,
    /// When it stops waiting.
    pub patience: Time,
    /// It does nothing until then.
    pub frozen_until: Time,
    /// Attempts that were refused before they ran.
    pub refused: u32,
    /// Attempts that may have run without an answer.
    pub lost: u32,
}

impl Request {
    /// A request that has just arrived.
    pub fn new(call: usize, now: Time) -> Self {
        Self {
            call,
            waits: Waits::Turn,
            question: 0,
            asked: now,
            patience: now,
            frozen_until: Time::ZERO,
            refused: 0,
            lost: 0,
        }
    }
}
