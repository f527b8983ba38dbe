//! What a run measures.

use {hdrhistogram::Histogram, serde::Serialize, std::time::Duration};

/// Significant digits of a histogram.
const DIGITS: u8 = 3;

/// Greatest value of a histogram, in microseconds: an hour.
const MOST_US: u64 = 3_600_000_000;

/// Values at some percentiles, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Mean.
    pub mean: f64,
    /// Half of the values are at most this.
    pub p50: f64,
    /// 95 in 100 values are at most this.
    pub p95: f64,
    /// 99 in 100 values are at most this.
    pub p99: f64,
}

/// What a run measured.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Stats {
    /// Programs that began.
    pub programs: u64,
    /// Programs that finished before their callers gave up.
    pub finished: u64,
    /// Latency of whole programs; one that was given up counts up to then.
    pub latency_ms: Percentiles,
    /// Time to the first token of a call, from the caller's first try.
    pub first_token_ms: Percentiles,
    /// Time between two tokens.
    pub token_gap_ms: Percentiles,
    /// Prompt tokens prefilled again that had been in a cache, in thousands.
    pub wasted_ktokens: f64,
    /// KV memory held by ended or paused programs, in thousands of block-seconds.
    pub idle_kblock_s: f64,
    /// Both as engine time: prefill, and share of memory times time, in seconds.
    pub wasted_engine_s: f64,
    /// Programs finished in time, a second.
    pub goodput: f64,
    /// Answers that sent a caller away for a while.
    pub refusals: u64,
    /// Longest wait before an upstream, in milliseconds.
    pub longest_wait_ms: u64,
    /// Engines lost to poison.
    pub lost_to_poison: u64,
    /// Latency of the programs of accounts other than the flooding one.
    pub quiet_latency_ms: Percentiles,
}

/// Counts during a run.
#[derive(Debug)]
pub struct Counters {
    pub latency: Histogram<u64>,
    pub quiet_latency: Histogram<u64>,
    pub first_token: Histogram<u64>,
    pub token_gap: Histogram<u64>,
    pub programs: u64,
    pub finished: u64,
    pub wasted_tokens: u64,
    /// KV blocks held times microseconds.
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

    /// What was counted, for programs that arrived over `seconds`.
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

/// An empty histogram of microseconds.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MOST_US, DIGITS)
        .unwrap_or_else(|_| unreachable!("the bounds are constants that fit"))
}

/// Records a span.
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

/// Rounds to thousandths, so that reports are short.
fn round(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}
