//! Settings of the engine model.

use std::time::Duration;

/// Step costs, sizes and publication delays of an engine model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ModelSettings {
    /// Capacity of the KV memory in blocks.
    pub kv_blocks: u32,
    /// Number of tokens per block.
    pub block_tokens: u32,
    /// Maximum number of jobs in the batch.
    pub max_batch: u32,
    /// Base duration of a step.
    pub step_base: Duration,
    /// Time that each decoding job adds to a step.
    pub step_per_job: Duration,
    /// Time that each context block of the batch's jobs adds to a step.
    pub step_per_block: Duration,
    /// Time to prefill one prompt token.
    pub prefill_per_token: Duration,
    /// Maximum number of prompt tokens prefilled per step.
    pub prefill_chunk: u32,
    /// Time that each imported block adds to the next step.
    pub import_per_block: Duration,
    /// Delay after which a cache event is published.
    pub event_lag: Duration,
    /// Share of cache events that are lost, in thousandths.
    pub event_loss_permille: u16,
    /// Interval between load reports.
    pub load_interval: Duration,
    /// Delay after which a load report is published.
    pub load_lag: Duration,
    /// Whether orders with a stale fence number are refused.
    pub check_fence: bool,
    /// Seed of the pseudo-random choice of lost cache events.
    pub seed: u64,
}

impl Default for ModelSettings {
    fn default() -> Self {
        Self {
            kv_blocks: 4_096,
            block_tokens: 64,
            max_batch: 64,
            step_base: Duration::from_millis(8),
            step_per_job: Duration::from_micros(300),
            step_per_block: Duration::from_micros(3),
            prefill_per_token: Duration::from_micros(50),
            prefill_chunk: 256,
            import_per_block: Duration::from_micros(100),
            event_lag: Duration::from_millis(250),
            event_loss_permille: 0,
            load_interval: Duration::from_millis(500),
            load_lag: Duration::from_millis(250),
            check_fence: true,
            seed: 0,
        }
    }
}
