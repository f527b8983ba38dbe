//! Knobs of routing.

use std::time::Duration;

/// Knobs of routing. A weight of zero turns its part off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteSettings {
    /// Time to prefill a prompt token, in microseconds.
    pub prefill_us: u64,
    /// Weight of a prompt token that has to be prefilled, in thousandths.
    pub prefix_weight: u64,
    /// Thousandths by which each running call raises that weight, since a
    /// prefill holds all of them up.
    pub prefix_per_running: u64,
    /// Time that a running call adds to each step, in microseconds.
    pub per_running_us: u64,
    /// Answer length that is expected of a call, in tokens.
    pub answer_tokens: u64,
    /// Time between tokens that is assumed where none is known, in microseconds.
    pub token_gap_us: u64,
    /// Whether load is corrected by what was sent and ended since its report.
    pub correct_load: bool,
    /// Upstreams whose cost is at most this much above the best are equally good.
    pub spread: Duration,
    /// Trust in the home of a program whose blocks the book does not know, in
    /// thousandths of a prefix that is known.
    pub home_weight: u64,
    /// Cost of another data centre.
    pub remote_cost: Duration,
    /// Age at which a load report is taken with care.
    pub stale_after: Duration,
    /// Age at which an upstream is used only if there is no other.
    pub silent_after: Duration,
    /// Cost of a stale or unknown load report.
    pub stale_cost: Duration,
    /// Fill of KV memory, in thousandths, from which on a call is expected to wait.
    pub kv_full_permille: u16,
    /// Cost of full KV memory.
    pub kv_full_cost: Duration,
    /// Blocks that the cache book remembers.
    pub max_index_blocks: usize,
    /// Number of conversations whose last upstream is remembered.
    pub max_conversations: usize,
    /// Time of a call, in thousandths of what peers take, from which on an
    /// upstream is slow: more than a full engine takes against an idle one.
    pub slow_threshold: u64,
    /// Rate of failed calls, in thousandths, from which on an upstream fails:
    /// two calls in a row do it, a single one does not.
    pub failing_threshold: u64,
    /// Calls that a failed one counts as: a program that loses one is late or
    /// fails, with all its other calls.
    pub failure_weight: u64,
    /// Time after which one call tries a slow or failing upstream again: as long
    /// as a caller waits for one.
    pub probe_interval: Duration,
}

impl Default for RouteSettings {
    fn default() -> Self {
        Self {
            prefill_us: 50,
            prefix_weight: 1_000,
            prefix_per_running: 10_000,
            per_running_us: 300,
            answer_tokens: 120,
            token_gap_us: 20_000,
            correct_load: true,
            spread: Duration::from_millis(20),
            home_weight: 1_000,
            remote_cost: Duration::from_millis(3),
            stale_after: Duration::from_secs(3),
            silent_after: Duration::from_secs(6),
            stale_cost: Duration::from_secs(1),
            kv_full_permille: 900,
            kv_full_cost: Duration::from_secs(2),
            max_index_blocks: 65_536,
            // Some minutes of the programs of one entry; 300 kB.
            max_conversations: 8_192,
            slow_threshold: 1_800,
            failing_threshold: 200,
            failure_weight: 20,
            probe_interval: Duration::from_secs(3),
        }
    }
}
