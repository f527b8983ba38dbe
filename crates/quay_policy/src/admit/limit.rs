//! Limits of the number of concurrent calls on an upstream.

use {crate::AdmissionSettings, quay_types::Time, std::time::Duration};

/// Observed state of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Observation {
    /// Recent time between tokens; zero if no tokens were produced.
    pub token_gap: Duration,
    /// KV memory in use, in thousandths.
    pub kv_permille: u16,
}

/// Limit of the number of concurrent calls on an upstream.
pub trait ConcurrencyLimit {
    /// Creates the limit before anything was observed.
    fn new(cfg: &AdmissionSettings) -> Self;

    /// Current limit.
    fn limit(&self) -> u32;

    /// Updates the limit from an observation. `saturated` is set when calls are
    /// queued and the limit is reached.
    fn observe(&mut self, cfg: &AdmissionSettings, now: Time, seen: Observation, saturated: bool);
}

/// A fixed limit at `max_limit`, which leaves batching to the engine.
#[derive(Debug)]
pub struct FixedLimit(u32);

impl ConcurrencyLimit for FixedLimit {
    fn new(cfg: &AdmissionSettings) -> Self {
        Self(cfg.max_limit)
    }

    fn limit(&self) -> u32 {
        self.0
    }

    fn observe(&mut self, _: &AdmissionSettings, _: Time, _: Observation, _: bool) {}
}

/// Additive-increase, multiplicative-decrease limit: rises by one while the
/// time between tokens is within its target and calls are queued, falls by a
/// tenth when that time or the use of KV memory exceeds its target.
#[derive(Debug)]
pub struct AdaptiveLimit {
    /// Between `min_limit` and `max_limit` of the settings.
    limit: u32,
    due: Time,
}

impl ConcurrencyLimit for AdaptiveLimit {
    fn new(cfg: &AdmissionSettings) -> Self {
        Self {
            limit: cfg.start_limit.clamp(cfg.min_limit, cfg.max_limit),
            due: Time::ZERO,
        }
    }

    fn limit(&self) -> u32 {
        self.limit
    }

    fn observe(&mut self, cfg: &AdmissionSettings, now: Time, seen: Observation, saturated: bool) {
        if now < self.due {
            return;
        }
        self.due = now + cfg.limit_interval;
        let overloaded = seen.token_gap > cfg.token_gap || seen.kv_permille > cfg.kv_permille;
        if overloaded {
            self.limit -= self.limit.div_ceil(10);
        } else if saturated {
            self.limit += 1;
        }
        self.limit = self.limit.clamp(cfg.min_limit, cfg.max_limit);
    }
}
