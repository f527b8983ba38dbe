//! Rating of an upstream against its peers by the outcome of its calls.

use {
    super::PER_MILLE,
    crate::RouteSettings,
    quay_types::Time,
    std::{cmp::Ordering, time::Duration},
};

/// Minimum number of calls for a meaningful mean: by then the first call has
/// lost most of its weight.
const MIN_CALLS: u32 = 4;

/// A call slower than the mean has a weight of 1 / `SLOWER_WEIGHT`, so that a
/// single call of twice the time does not mark the upstream as slow.
const SLOWER_WEIGHT: u32 = 4;

/// A call faster than the mean has a weight of 1 / `FASTER_WEIGHT`, so that a
/// recovered upstream is recognised after two or three calls.
const FASTER_WEIGHT: u32 = 2;

/// A call has a weight of 1 / `FAILURE_WEIGHT` in the failure rate. The divisor
/// is about the number of calls in flight on one upstream.
const FAILURE_WEIGHT: u64 = 8;

/// A successful call has a weight of 1 / `PROBE_SUCCESS_WEIGHT` at an upstream
/// that counts as failing, since few calls are sent there.
const PROBE_SUCCESS_WEIGHT: u64 = 2;

/// Outcomes of the calls that one caller has sent to an upstream.
///
/// Times are compared only among peers that do the same work, so they need no
/// common scale. A bad rating expires after [`RouteSettings::probe_interval`];
/// otherwise the upstream would get no more calls and its recovery would never
/// be noticed.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PeerRating {
    mean: Duration,
    calls: u32,
    /// Failure rate in thousandths.
    failure_rate: u64,
    /// Time at which a call was last sent to the upstream or ended there.
    last_activity: Time,
}

impl PeerRating {
    /// Records that a call was sent.
    pub(super) fn sent(&mut self, now: Time) {
        self.last_activity = now;
    }

    /// Records a successful call and its duration.
    pub(super) fn succeeded(&mut self, cfg: &RouteSettings, now: Time, took: Duration) {
        self.last_activity = now;
        let weight = if self.failure_rate >= cfg.failing_threshold {
            PROBE_SUCCESS_WEIGHT
        } else {
            FAILURE_WEIGHT
        };
        self.failure_rate -= self.failure_rate.div_ceil(weight);
        let weight = match took.cmp(&self.mean) {
            _ if self.calls == 0 => 1,
            Ordering::Greater => SLOWER_WEIGHT,
            Ordering::Less | Ordering::Equal => FASTER_WEIGHT,
        };
        self.mean = (self.mean * (weight - 1) + took) / weight;
        self.calls = self.calls.saturating_add(1);
    }

    /// Records that the upstream lost or corrupted a call.
    pub(super) fn failed(&mut self, now: Time) {
        self.last_activity = now;
        self.failure_rate += (PER_MILLE - self.failure_rate) / FAILURE_WEIGHT;
    }

    /// Mean duration of a call, if enough calls have ended.
    pub(super) fn mean(&self) -> Option<Duration> {
        (self.calls >= MIN_CALLS).then_some(self.mean)
    }

    /// Factor on the cost of a call, in thousandths, where calls to peers take
    /// `typical`.
    pub(super) fn factor(&self, cfg: &RouteSettings, now: Time, typical: Option<Duration>) -> u64 {
        if !cfg.rate_peers || now.since(self.last_activity) >= cfg.probe_interval {
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
        let failing = if self.failure_rate >= cfg.failing_threshold {
            self.failure_rate * cfg.failure_weight
        } else {
            0
        };
        slow.saturating_add(failing)
    }
}

/// Returns the first quartile of the mean durations, so that slow upstreams do
/// not count as typical even if they are up to two thirds of all.
pub(super) fn typical(means: &mut [Duration]) -> Option<Duration> {
    means.sort_unstable();
    means.get(means.len() / 4).copied()
}
