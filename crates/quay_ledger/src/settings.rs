//! Bounds of a ledger group.

use serde::{Deserialize, Serialize};

/// Bounds of a ledger group. They must be the same on every replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerLimits {
    /// Programs that the group keeps, ended ones too.
    pub programs: u32,
    /// Root programs of one account that the group keeps, ended ones too.
    pub account_programs: u32,
    /// Seconds for which an ended program and its outcomes are kept.
    pub retention_s: u32,
    /// Milliseconds after which a call that must wait asks again.
    pub wait_ms: u32,
    /// Milliseconds after its permit for which a call that may not run twice
    /// may still start. Entries and sidecars keep to it by their own clocks;
    /// this leaves room for how far the clocks of two leaders differ.
    pub start_limit_ms: u32,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            programs: 400_000,
            account_programs: 100_000,
            retention_s: 900,
            wait_ms: 50,
            start_limit_ms: 15_000,
        }
    }
}
