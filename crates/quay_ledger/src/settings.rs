//! Limits of a ledger group.

use serde::{Deserialize, Serialize};

/// Limits of a ledger group. All replicas must use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerLimits {
    /// Maximum number of programs in the group, including ended ones.
    pub programs: u32,
    /// Maximum number of root programs per account, including ended ones.
    pub account_programs: u32,
    /// Seconds for which an ended program and its outcomes are retained.
    pub retention_s: u32,
    /// Milliseconds after which a call that has to wait asks again.
    pub wait_ms: u32,
    /// Milliseconds after the issue of its permit for which a call that may not
    /// run twice may still start. Entries and sidecars enforce the limit by
    /// their own clocks; the value includes a margin for the clock difference
    /// between two leaders.
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
