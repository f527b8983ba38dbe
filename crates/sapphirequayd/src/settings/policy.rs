//! Settings of routing, admission, retries and KV caches.

use {
    quay_policy::{AdmissionSettings, RetrySettings, RouteSettings},
    serde::Deserialize,
    std::time::Duration,
};

/// TOML table `[policy]`.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicyTable {
    /// Selection of the upstream, on entries.
    pub route: RoutePolicyTable,
    /// Admission queue of the upstream, on sidecars.
    pub admit: AdmissionPolicyTable,
    /// Retries after the loss of an upstream, on entries.
    pub retry: RetryPolicyTable,
    /// KV cache of the engine, on sidecars.
    pub kv: KvTable,
}

/// TOML table `[policy.kv]`: retention of programs' blocks in the engine's KV
/// cache.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct KvTable {
    /// Interval at which the ledger is queried for idle programs that have
    /// ended, in milliseconds.
    pub sweep_ms: u64,
}

impl Default for KvTable {
    fn default() -> Self {
        Self { sweep_ms: 10_000 }
    }
}

impl KvTable {
    /// [`Self::sweep_ms`] as a duration.
    #[must_use]
    pub const fn sweep(&self) -> Duration {
        Duration::from_millis(self.sweep_ms)
    }
}

/// TOML table `[policy.route]`: keys for [`RouteSettings`].
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoutePolicyTable {
    /// [`RouteSettings::prefill_us`].
    pub prefill_us: u64,
    /// [`RouteSettings::prefix_weight`].
    pub prefix_weight: u64,
    /// [`RouteSettings::prefix_per_running`].
    pub prefix_per_running: u64,
    /// [`RouteSettings::per_running_us`].
    pub per_running_us: u64,
    /// [`RouteSettings::answer_tokens`].
    pub answer_tokens: u64,
    /// [`RouteSettings::token_gap_us`].
    pub token_gap_us: u64,
    /// [`RouteSettings::spread`] in milliseconds.
    pub spread_ms: u64,
    /// [`RouteSettings::home_weight`].
    pub home_weight: u64,
    /// [`RouteSettings::remote_cost`] in milliseconds.
    pub far_ms: u64,
    /// [`RouteSettings::stale_after`] in milliseconds.
    pub stale_after_ms: u64,
    /// [`RouteSettings::silent_after`] in milliseconds.
    pub silent_after_ms: u64,
    /// [`RouteSettings::stale_cost`] in milliseconds.
    pub stale_cost_ms: u64,
    /// [`RouteSettings::max_index_blocks`].
    pub book_blocks: usize,
}

impl Default for RoutePolicyTable {
    fn default() -> Self {
        let cfg = RouteSettings::default();
        Self {
            prefill_us: cfg.prefill_us,
            prefix_weight: cfg.prefix_weight,
            prefix_per_running: cfg.prefix_per_running,
            per_running_us: cfg.per_running_us,
            answer_tokens: cfg.answer_tokens,
            token_gap_us: cfg.token_gap_us,
            spread_ms: ms(cfg.spread),
            home_weight: cfg.home_weight,
            far_ms: ms(cfg.remote_cost),
            stale_after_ms: ms(cfg.stale_after),
            silent_after_ms: ms(cfg.silent_after),
            stale_cost_ms: ms(cfg.stale_cost),
            book_blocks: cfg.max_index_blocks,
        }
    }
}

impl RoutePolicyTable {
    /// Converts the table to the settings of routing.
    #[must_use]
    pub fn settings(&self) -> RouteSettings {
        RouteSettings {
            prefill_us: self.prefill_us,
            prefix_weight: self.prefix_weight,
            prefix_per_running: self.prefix_per_running,
            per_running_us: self.per_running_us,
            answer_tokens: self.answer_tokens,
            token_gap_us: self.token_gap_us,
            spread: Duration::from_millis(self.spread_ms),
            home_weight: self.home_weight,
            remote_cost: Duration::from_millis(self.far_ms),
            stale_after: Duration::from_millis(self.stale_after_ms),
            silent_after: Duration::from_millis(self.silent_after_ms),
            stale_cost: Duration::from_millis(self.stale_cost_ms),
            max_index_blocks: self.book_blocks,
            ..RouteSettings::default()
        }
    }
}

/// TOML table `[policy.admit]`: keys for [`AdmissionSettings`].
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionPolicyTable {
    /// [`AdmissionSettings::start_limit`].
    pub start_limit: u32,
    /// [`AdmissionSettings::min_limit`].
    pub min_limit: u32,
    /// [`AdmissionSettings::token_gap`] in milliseconds.
    pub token_gap_ms: u64,
    /// [`AdmissionSettings::limit_interval`] in milliseconds.
    pub limit_every_ms: u64,
    /// [`AdmissionSettings::max_queued`].
    pub max_queued: usize,
    /// [`AdmissionSettings::max_account_delay`] in milliseconds.
    pub behind_max_ms: u64,
    /// [`AdmissionSettings::sub_agent_lead`] in milliseconds.
    pub sub_agent_lead_ms: u64,
    /// [`AdmissionSettings::account_share_permille`].
    pub account_share_permille: u32,
    /// [`AdmissionSettings::shed_new_after`] in milliseconds.
    pub shed_new_after_ms: u64,
    /// [`AdmissionSettings::service_time`] in milliseconds.
    pub service_ms: u64,
}

impl Default for AdmissionPolicyTable {
    fn default() -> Self {
        let cfg = AdmissionSettings::default();
        Self {
            start_limit: cfg.start_limit,
            min_limit: cfg.min_limit,
            token_gap_ms: ms(cfg.token_gap),
            limit_every_ms: ms(cfg.limit_interval),
            max_queued: cfg.max_queued,
            behind_max_ms: ms(cfg.max_account_delay),
            sub_agent_lead_ms: ms(cfg.sub_agent_lead),
            account_share_permille: cfg.account_share_permille,
            shed_new_after_ms: ms(cfg.shed_new_after),
            service_ms: ms(cfg.service_time),
        }
    }
}

impl AdmissionPolicyTable {
    /// Converts the table to the settings of admission, with `concurrency` as
    /// the maximum number of running calls.
    #[must_use]
    pub fn settings(&self, concurrency: u32) -> AdmissionSettings {
        AdmissionSettings {
            start_limit: self.start_limit.min(concurrency),
            min_limit: self.min_limit.min(concurrency),
            max_limit: concurrency,
            token_gap: Duration::from_millis(self.token_gap_ms),
            limit_interval: Duration::from_millis(self.limit_every_ms),
            max_queued: self.max_queued,
            max_account_delay: Duration::from_millis(self.behind_max_ms),
            sub_agent_lead: Duration::from_millis(self.sub_agent_lead_ms),
            account_share_permille: self.account_share_permille,
            shed_new_after: Duration::from_millis(self.shed_new_after_ms),
            service_time: Duration::from_millis(self.service_ms),
            ..AdmissionSettings::default()
        }
    }
}

/// TOML table `[policy.retry]`: keys for [`RetrySettings`].
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RetryPolicyTable {
    /// [`RetrySettings::share_permille`].
    pub share_permille: u32,
    /// [`RetrySettings::burst`].
    pub burst: u32,
}

impl Default for RetryPolicyTable {
    fn default() -> Self {
        let cfg = RetrySettings::default();
        Self {
            share_permille: cfg.share_permille,
            burst: cfg.burst,
        }
    }
}

impl RetryPolicyTable {
    /// Converts the table to the settings of retry budgets.
    #[must_use]
    pub const fn settings(&self) -> RetrySettings {
        RetrySettings {
            share_permille: self.share_permille,
            burst: self.burst,
        }
    }
}

/// Converts a duration to whole milliseconds.
fn ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
