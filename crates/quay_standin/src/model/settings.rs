//! Costs and sizes of a modelled engine.

use std::time::Duration;

/// Costs and sizes of a modelled engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ModelSettings {
    /// KV memory in blocks.
    pub kv_blocks: u32,
    /// Tokens in a block.
    pub block_tokens: u32,
    /// Most jobs in the batch.
    pub max_batch: u32,
    /// Time of a step with an empty batch.
    pub step_base: Duration,
    /// Time that each generating job adds to a step.
    pub step_per_job: Duration,
    /// Time that each block of context read by the step adds.
    pub step_per_block: Duration,
    /// Time to prefill one prompt token.
    pub prefill_per_token: Duration,
    /// Most prompt tokens that one step prefills.
    pub prefill_chunk: u32,
    /// Time to import one block.
    pub import_per_block: Duration,
    /// Age at which a cache event is published.
    pub event_lag: Duration,
    /// Share of cache events that are never published, in thousandths.
    pub event_loss_permille: u16,
    /// Interval between two load reports.
    pub load_every: Duration,
    /// Age at which a load report is published.
    pub load_lag: Duration,
    /// Whether orders under an old fence number are refused.
    pub check_fence: bool,
    /// Chooses which cache events are lost.
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
            load_every: Duration::from_millis(500),
            load_lag: Duration::from_millis(250),
            check_fence: true,
            seed: 0,
        }
    }
}
