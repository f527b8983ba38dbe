//! A request being processed by an entry.

use quay_types::{Outcome, Permit, Time};

/// The event that a request waits for.
#[derive(Debug, Clone)]
pub(super) enum Wait {
    /// The time of its next attempt to obtain a permit.
    Retry,
    /// The reply of the ledger to `begin`.
    Begin,
    /// The end of its attempt at the sidecar.
    Attempt(Permit),
    /// The permit status from its sidecar; the reply may be lost.
    Status(Permit),
    /// The ledger's confirmation that the outcome is recorded.
    Settle(Permit, Outcome),
}

/// A request being processed by an entry.
#[derive(Debug, Clone)]
pub(super) struct Request {
    /// Index of its call.
    pub call: usize,
    /// The event that the request waits for.
    pub waits_for: Wait,
    /// Number of exchanges that the request has started.
    pub exchange: u32,
    /// Time at which the request last asked the ledger for a permit.
    pub requested_at: Time,
    /// Time at which the current wait expires.
    pub wait_deadline: Time,
    /// Time until which the entry does not process the request.
    pub frozen_until: Time,
    /// Number of attempts that were refused before they ran.
    pub refused: u32,
    /// Number of attempts that may have run but gave no answer.
    pub lost: u32,
}

impl Request {
    /// Creates a request that has just arrived.
    pub fn new(call: usize, now: Time) -> Self {
        Self {
            call,
            waits_for: Wait::Retry,
            exchange: 0,
            requested_at: now,
            wait_deadline: now,
            frozen_until: Time::ZERO,
            refused: 0,
            lost: 0,
        }
    }
}
