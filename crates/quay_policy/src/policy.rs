//! Scheduling policies as types.

use crate::{
    AdmissionSettings, ConcurrencyLimit, RetentionSettings, RetrySettings, RouteSettings, Score,
};

/// Settings of all parts of a policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PolicySettings {
    /// Selection of an upstream.
    pub route: RouteSettings,
    /// Admission queue in front of each upstream.
    pub admit: AdmissionSettings,
    /// KV memory of paused and ended programs.
    pub retain: RetentionSettings,
    /// Retries after an upstream was lost.
    pub retry: RetrySettings,
    /// Maximum number of calls that an account may have in progress across all
    /// entries; zero disables the limit.
    pub account_calls: u32,
    /// Whether requests that crash upstreams are tracked as suspects and
    /// quarantined.
    pub quarantine: bool,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            route: RouteSettings::default(),
            admit: AdmissionSettings::default(),
            retain: RetentionSettings::default(),
            retry: RetrySettings::default(),
            account_calls: 24,
            quarantine: true,
        }
    }
}

/// A scheduling policy: the exchangeable parts and their settings.
pub trait Policy {
    /// Cost function that ranks upstreams for a call.
    type Score: Score;
    /// Limit of concurrent calls on an upstream.
    type Limit: ConcurrencyLimit;

    /// Name of the policy in reports.
    const NAME: &'static str;

    /// Settings of all parts; the defaults unless overridden.
    #[must_use]
    fn settings() -> PolicySettings {
        PolicySettings::default()
    }
}
