//! How many calls an upstream is given at a time.

use {crate::AdmissionSettings, quay_types::Time, std::time::Duration};

/// What was seen of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Observation {
    /// Recent time between tokens; zero if none came.
    pub token_gap: Duration,
    /// Fill of KV memory, in thousandths.
    pub kv_permille: u16,
}

/// How many calls an upstream is given at a time.
pub trait ConcurrencyLimit {
    /// The limit before anything is seen.
    fn new(cfg: &AdmissionSettings) -> Self;

    /// The limit now.
    fn limit(&self) -> u32;

    /// Learns from what was seen; `wanted` says that more calls wait than may run.
    fn observe(&mut self, cfg: &AdmissionSettings, now: Time, seen: Observation, wanted: bool);
}

/// The highest limit, whatever is seen: the engine's own batch decides.
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

/// Rises by one while tokens come fast enough and calls wait, falls by a
/// tenth when they come too slowly or KV memory fills up.
#[derive(Debug)]
pub struct AdaptiveLimit {
    /// Between the settings' `min_limit` and `max_limit`.
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

    fn observe(&mut self, cfg: &AdmissionSettings, now: Time, seen: Observation, wanted: bool) {
        if now < self.due {
            return;
        }
        self.due = now + cfg.limit_interval;
        let over = seen.token_gap > cfg.token_gap || seen.kv_permille > cfg.kv_permille;
        if over {
            self.limit -= self.limit.div_ceil(10);
        } else if wanted {
            self.limit += 1;
        }
        self.limit = self.limit.clamp(cfg.min_limit, cfg.max_limit);
    }
}
