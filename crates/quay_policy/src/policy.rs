//! A scheduling policy as one type.

use crate::{
    AdmissionSettings, ConcurrencyLimit, RetentionSettings, RetrySettings, RouteSettings, Score,
};

/// Settings of every part of a policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PolicySettings {
    /// Choice of upstream.
    pub route: RouteSettings,
    /// Queue before each upstream.
    pub admit: AdmissionSettings,
    /// KV memory of programs that pause or have ended.
    pub retain: RetentionSettings,
    /// Retries after a lost upstream.
    pub retry: RetrySettings,
    /// Calls that an account may have in progress at all entries together;
    /// zero is no limit.
    pub account_calls: u32,
    /// Whether requests that crash upstreams become suspects.
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

/// A scheduling policy: the parts that vary, and their settings.
pub trait Policy {
    /// Rates upstreams for a call.
    type Score: Score;
    /// How many calls an upstream is given at a time.
    type Limit: ConcurrencyLimit;

    /// Name in reports.
    const NAME: &'static str;

    /// Settings of the parts.
    #[must_use]
    fn settings() -> PolicySettings {
        PolicySettings::default()
    }
}
