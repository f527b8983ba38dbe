//! Measurements of a run.

use {hdrhistogram::Histogram, serde::Serialize, std::time::Duration};

/// Number of significant decimal digits that histograms keep.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Maximum value of a histogram, in microseconds: one hour.
const MAX_US: u64 = 3_600_000_000;

/// Mean and percentiles of a distribution, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Arithmetic mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Results of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Stats {
    /// Number of root programs that started.
    pub programs: u64,
    /// Number of root programs that finished before their deadline.
    pub finished: u64,
    /// Latency of root programs; an abandoned program counts with the time until
    /// its deadline.
    pub latency_ms: Percentiles,
    /// Time from the caller's first attempt to the first token of the call.
    pub first_token_ms: Percentiles,
    /// Time between consecutive tokens of a call.
    pub token_gap_ms: Percentiles,
    /// Prompt tokens that were prefilled again although an engine had cached them
    /// before, in thousands.
    pub wasted_ktokens: f64,
    /// KV memory held by ended or paused programs, in thousands of block-seconds.
    pub idle_kblock_s: f64,
    /// Engine time lost to both kinds of waste, in seconds: the time of repeated
    /// prefills, plus idle KV memory as a share of the engine's memory times its
    /// duration.
    pub wasted_engine_s: f64,
    /// Root programs finished before their deadline, per second.
    pub goodput: f64,
    /// Number of refusals after which the caller had to wait before a retry.
    pub refusals: u64,
    /// Longest wait in an upstream's queue, in milliseconds.
    pub longest_wait_ms: u64,
    /// Number of engine crashes with a poison call among the running calls.
    pub lost_to_poison: u64,
    /// Latency of root programs of all accounts except the flooding one.
    pub quiet_latency_ms: Percentiles,
}

/// Counters and histograms that are updated during a run.
#[derive(Debug)]
pub struct Counters {
    pub latency: Histogram<u64>,
    pub quiet_latency: Histogram<u64>,
    pub first_token: Histogram<u64>,
    pub token_gap: Histogram<u64>,
    pub programs: u64,
    pub finished: u64,
    pub wasted_tokens: u64,
    /// Idle KV blocks times the duration that they were held, in block-microseconds.
    pub idle_block_us: u128,
    pub refusals: u64,
    pub longest_wait: Duration,
    pub lost_to_poison: u64,
}

impl Counters {
    pub fn new() -> Self {
        Self {
            latency: histogram(),
            quiet_latency: histogram(),
            first_token: histogram(),
            token_gap: histogram(),
            programs: 0,
            finished: 0,
            wasted_tokens: 0,
            idle_block_us: 0,
            refusals: 0,
            longest_wait: Duration::ZERO,
            lost_to_poison: 0,
        }
    }

    /// Computes the results of a run whose arrival phase took `seconds`; `prefill`
    /// is the prefill time per token and `kv_blocks` the capacity of an engine.
    #[allow(clippy::cast_precision_loss)] // Far below 2^52.
    pub fn stats(&self, seconds: u64, prefill: Duration, kv_blocks: u32) -> Stats {
        let idle_block_s = self.idle_block_us as f64 / 1e6;
        let prefill_s = self.wasted_tokens as f64 * prefill.as_secs_f64();
        Stats {
            programs: self.programs,
            finished: self.finished,
            latency_ms: percentiles(&self.latency),
            first_token_ms: percentiles(&self.first_token),
            token_gap_ms: percentiles(&self.token_gap),
            wasted_ktokens: round(self.wasted_tokens as f64 / 1e3),
            idle_kblock_s: round(idle_block_s / 1e3),
            wasted_engine_s: round(prefill_s + idle_block_s / f64::from(kv_blocks)),
            goodput: round(self.finished as f64 / seconds as f64),
            refusals: self.refusals,
            longest_wait_ms: u64::try_from(self.longest_wait.as_millis()).unwrap_or(u64::MAX),
            lost_to_poison: self.lost_to_poison,
            quiet_latency_ms: percentiles(&self.quiet_latency),
        }
    }
}

/// Returns an empty histogram of durations in microseconds.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_US, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("the histogram bounds are valid constants"))
}

/// Records a duration.
pub fn record(histogram: &mut Histogram<u64>, span: Duration) {
    histogram.saturating_record(u64::try_from(span.as_micros()).unwrap_or(u64::MAX));
}

#[allow(clippy::cast_precision_loss)] // Far below 2^52.
fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |percentile| round(histogram.value_at_percentile(percentile) as f64 / 1e3);
    Percentiles {
        mean: round(histogram.mean() / 1e3),
        p50: at(50.0),
        p95: at(95.0),
        p99: at(99.0),
    }
}

/// Rounds to three decimal places to keep reports short.
fn round(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}
