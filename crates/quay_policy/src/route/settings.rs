//! Settings of routing.

use std::time::Duration;

/// Settings of routing. A weight of zero disables its part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteSettings {
    /// Time to prefill a prompt token, in microseconds.
    pub prefill_us: u64,
    /// Weight of a prompt token that must be prefilled, in thousandths.
    pub prefix_weight: u64,
    /// Thousandths by which each running call raises `prefix_weight`, since a
    /// prefill delays all running calls.
    pub prefix_per_running: u64,
    /// Time that a running call adds to each decoding step, in microseconds.
    pub per_running_us: u64,
    /// Expected length of an answer, in tokens.
    pub answer_tokens: u64,
    /// Assumed time between tokens where none is known, in microseconds.
    pub token_gap_us: u64,
    /// Whether the load is corrected for calls sent and ended since the last
    /// report.
    pub correct_load: bool,
    /// Upstreams whose cost exceeds the lowest by at most this much are equally
    /// good.
    pub spread: Duration,
    /// Weight of a program's home upstream when the prefix index has no entry
    /// for the program's blocks, in thousandths of a known prefix.
    pub home_weight: u64,
    /// Part of an upstream's memory that shared beginnings of prompts may take, in
    /// thousandths; 0 disables the limit. Where all of them take more, each has its homes
    /// at a part of the upstreams only, whose memory holds it for longer.
    pub beginnings_share: u64,
    /// Whether a program's first call prefers its home as well.
    pub begin_at_home: bool,
    /// Whether upstreams are rated against their peers.
    pub rate_peers: bool,
    /// Additional cost of an upstream in another data centre.
    pub remote_cost: Duration,
    /// Age above which a load report counts as stale.
    pub stale_after: Duration,
    /// Time without announcements after which an upstream is used only as a
    /// last resort.
    pub silent_after: Duration,
    /// Additional cost of an upstream whose load report is stale or missing.
    pub stale_cost: Duration,
    /// Use of KV memory, in thousandths, from which a call is expected to wait.
    pub kv_full_permille: u16,
    /// Additional cost of an upstream whose KV memory is full.
    pub kv_full_cost: Duration,
    /// Maximum number of blocks in the prefix index; 0 disables it.
    pub max_index_blocks: usize,
    /// Maximum number of conversations whose latest upstream is recorded; 0 disables
    /// their preference.
    pub max_conversations: usize,
    /// Call duration, in thousandths of the peers' duration, from which an
    /// upstream counts as slow: more than a fully loaded engine takes compared
    /// with an idle one.
    pub slow_threshold: u64,
    /// Rate of failed calls, in thousandths, from which an upstream counts as
    /// failing: reached by two failures in a row, not by a single one.
    pub failing_threshold: u64,
    /// Number of calls that a failed call counts as: a program that loses one
    /// call is late or fails, together with all its other calls.
    pub failure_weight: u64,
    /// Time after which one call probes a slow or failing upstream: as long as
    /// a caller waits for a call.
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
            beginnings_share: 0,
            begin_at_home: false,
            rate_peers: true,
            remote_cost: Duration::from_millis(3),
            stale_after: Duration::from_secs(3),
            silent_after: Duration::from_secs(6),
            stale_cost: Duration::from_secs(1),
            kv_full_permille: 900,
            kv_full_cost: Duration::from_secs(2),
            max_index_blocks: 65_536,
            // A few minutes of the programs of one entry; 300 kB.
            max_conversations: 8_192,
            slow_threshold: 1_800,
            failing_threshold: 200,
            failure_weight: 20,
            probe_interval: Duration::from_secs(3),
        }
    }
}
