//! How an upstream does against its peers, from what its calls met.

use {
    super::PER_MILLE,
    crate::RouteSettings,
    quay_types::Time,
    std::{cmp::Ordering, time::Duration},
};

/// Calls from which on a mean says something: those that replace most of the
/// first one's weight.
const LEAST_CALLS: u32 = 4;

/// Weight of a call that took longer than the mean: one in so many, so that a
/// single one of twice the time does not pass for slowness.
const SLOWER_WEIGHT: u32 = 4;

/// Weight of one that took less: an upstream that has recovered is found so
/// after two or three calls.
const FASTER_WEIGHT: u32 = 2;

/// Weight of one call in the rate of failures: one in so many, about what is
/// under way at an upstream.
const FAILURE_WEIGHT: u64 = 8;

/// Weight of a call that went well at an upstream that counts as failing: few
/// are sent there.
const RETRIAL_WEIGHT: u64 = 2;

/// What one caller has seen of an upstream.
///
/// Time is only compared among peers that do the same work, so it needs no
/// scale. What is bad is forgotten after a while, or the upstream, which gets
/// no calls any more, would never be found to have recovered.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PeerRating {
    mean: Duration,
    calls: u32,
    /// Rate of failures, in thousandths.
    failing: u64,
    /// When it last was sent a call, or a call of it ended.
    last: Time,
}

impl PeerRating {
    /// A call was sent.
    pub(super) fn sent(&mut self, now: Time) {
        self.last = now;
    }

    /// A call has ended well, and took so long.
    pub(super) fn served(&mut self, cfg: &RouteSettings, now: Time, took: Duration) {
        self.last = now;
        let weight = if self.failing >= cfg.failing_threshold {
            RETRIAL_WEIGHT
        } else {
            FAILURE_WEIGHT
        };
        self.failing -= self.failing.div_ceil(weight);
        let weight = match took.cmp(&self.mean) {
            _ if self.calls == 0 => 1,
            Ordering::Greater => SLOWER_WEIGHT,
            Ordering::Less | Ordering::Equal => FASTER_WEIGHT,
        };
        self.mean = (self.mean * (weight - 1) + took) / weight;
        self.calls = self.calls.saturating_add(1);
    }

    /// The upstream lost or spoilt a call.
    pub(super) fn failed(&mut self, now: Time) {
        self.last = now;
        self.failing += (PER_MILLE - self.failing) / FAILURE_WEIGHT;
    }

    /// Mean time of a call, if enough have ended.
    pub(super) fn mean(&self) -> Option<Duration> {
        (self.calls >= LEAST_CALLS).then_some(self.mean)
    }

    /// Factor on the cost of a call, in thousandths, where peers take `typical`.
    pub(super) fn factor(&self, cfg: &RouteSettings, now: Time, typical: Option<Duration>) -> u64 {
        if now.since(self.last) >= cfg.probe_interval {
            return PER_MILLE;
        }
        let ratio = match (self.mean(), typical) {
            (Some(mean), Some(typical)) if !typical.is_zero() => {
                let ratio = mean.as_micros() * u128::from(PER_MILLE) / typical.as_micros().max(1);
                u64::try_from(ratio).unwrap_or(u64::MAX)
            }
            _ => PER_MILLE,
        };
        let slow = if ratio >= cfg.slow_threshold {
            ratio
        } else {
            PER_MILLE
        };
        let failing = if self.failing >= cfg.failing_threshold {
            self.failing * cfg.failure_weight
        } else {
            0
        };
        slow.saturating_add(failing)
    }
}

/// Time that a call takes at the better upstreams: the first quartile, so that
/// a slow minority, and up to two thirds of them, don't pass for usual.
pub(super) fn typical(means: &mut [Duration]) -> Option<Duration> {
    means.sort_unstable();
    means.get(means.len() / 4).copied()
}
