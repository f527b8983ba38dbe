//! Knobs of admission.

use std::time::Duration;

/// Knobs of admission. A weight of zero turns its part off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Calls on the upstream before anything is learned.
    pub start_limit: u32,
    /// Fewest calls that are let through.
    pub min_limit: u32,
    /// Most calls that are let through.
    pub max_limit: u32,
    /// Time between tokens that the limit keeps to.
    pub token_gap: Duration,
    /// Fill of KV memory that the limit keeps below, in thousandths.
    pub kv_permille: u16,
    /// Interval between two changes of the limit.
    pub limit_interval: Duration,
    /// Calls that may wait.
    pub max_queued: usize,
    /// Most time that its account's use can put a call back, which bounds its wait.
    pub max_account_delay: Duration,
    /// Head start of a sub-agent for each level of depth.
    pub sub_agent_lead: Duration,
    /// Upstream time that one account may take in each second before its calls
    /// stand behind those of others, in thousandths; zero is no limit.
    pub account_share_permille: u32,
    /// Expected wait from which on programs that have not begun are refused;
    /// zero refuses none.
    pub shed_new_after: Duration,
    /// Time that a call is expected to run, until some have ended.
    pub service_time: Duration,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            start_limit: 32,
            min_limit: 4,
            max_limit: 256,
            token_gap: Duration::from_millis(36),
            kv_permille: 900,
            limit_interval: Duration::from_millis(250),
            max_queued: 1_000,
            max_account_delay: Duration::from_secs(10),
            sub_agent_lead: Duration::from_secs(1),
            account_share_permille: 100,
            shed_new_after: Duration::from_secs(2),
            service_time: Duration::from_secs(3),
        }
    }
}
