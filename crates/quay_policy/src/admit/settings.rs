//! Settings of admission.

use std::time::Duration;

/// Settings of admission. Zero disables the part that a setting controls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Initial limit of concurrent calls on the upstream.
    pub start_limit: u32,
    /// Lower bound of the limit.
    pub min_limit: u32,
    /// Upper bound of the limit.
    pub max_limit: u32,
    /// Target time between tokens; the limit falls when it is exceeded.
    pub token_gap: Duration,
    /// Target use of KV memory, in thousandths; the limit falls when it is
    /// exceeded.
    pub kv_permille: u16,
    /// Minimum interval between two changes of the limit.
    pub limit_interval: Duration,
    /// Maximum number of queued calls.
    pub max_queued: usize,
    /// Maximum delay that an account's past usage can impose on a call, which
    /// bounds its wait.
    pub max_account_delay: Duration,
    /// Advance in the queue that a sub-agent gets for each level of depth.
    pub sub_agent_lead: Duration,
    /// Upstream time that an account may use per second before its calls are
    /// queued behind those of other accounts, in thousandths; zero disables the
    /// limit.
    pub account_share_permille: u32,
    /// Expected wait above which new programs are refused; zero disables load
    /// shedding.
    pub shed_new_after: Duration,
    /// Expected run time of a call before any calls have ended.
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
