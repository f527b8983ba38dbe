//! Ways to rate an upstream for a call.

use {super::PER_MILLE, crate::RouteSettings, quay_types::Load};

/// What is known of an upstream when a call is to be sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamView {
    /// Its load, corrected for the age of the report.
    pub load: Load,
    /// Whether the report is missing or too old to be relied on.
    pub stale: bool,
    /// Whether it is in another data centre.
    pub remote: bool,
    /// Tokens of the prompt that it would have to prefill.
    pub uncached_tokens: u64,
    /// Factor on what it takes, against peers, in thousandths; 1,000 and less
    /// say nothing.
    pub slowdown: u64,
}

/// Rates upstreams; the lowest cost is chosen.
pub trait Score {
    /// Whether the cache book is asked what each upstream holds.
    const USES_PREFIX_INDEX: bool;

    /// Cost of sending a call to an upstream, in microseconds where the unit matters.
    fn cost(cfg: &RouteSettings, view: &UpstreamView) -> u64;
}

/// The fewest calls, queued or running.
#[derive(Debug)]
pub struct LeastLoad;

impl Score for LeastLoad {
    const USES_PREFIX_INDEX: bool = false;

    fn cost(_: &RouteSettings, view: &UpstreamView) -> u64 {
        u64::from(view.load.queued) + u64::from(view.load.running)
    }
}

/// The longest prefix held unless its holder is crowded, and of these the fewest calls.
#[derive(Debug)]
pub struct LongestPrefix;

/// Greater than any count of calls.
const CALLS_LIMIT: u64 = 1 << 20;

/// Calls from which on an upstream is crowded.
const CROWDED: u64 = 40;

impl Score for LongestPrefix {
    const USES_PREFIX_INDEX: bool = true;

    fn cost(cfg: &RouteSettings, view: &UpstreamView) -> u64 {
        let calls = LeastLoad::cost(cfg, view);
        let crowded = u64::from(calls > CROWDED) << 60;
        crowded + view.uncached_tokens * CALLS_LIMIT + calls
    }
}

/// The shortest time until the answer is whole, with what the call costs others.
#[derive(Debug)]
pub struct ExpectedTime;

impl Score for ExpectedTime {
    const USES_PREFIX_INDEX: bool = true;

    fn cost(cfg: &RouteSettings, view: &UpstreamView) -> u64 {
        let load = &view.load;
        let running = u64::from(load.running);
        let gap = match u64::from(load.token_gap_us) {
            0 => cfg.token_gap_us,
            known => known,
        };
        let answer = cfg.answer_tokens * (gap + running * cfg.per_running_us);
        // Of the calls that run, one ends about every `answer / running`.
        let queue = u64::from(load.queued) * answer / running.max(1);
        let weight = cfg.prefix_weight + cfg.prefix_per_running * running;
        let prefill = view.uncached_tokens * cfg.prefill_us * weight / PER_MILLE;
        let backlog = load.backlog * cfg.prefill_us;
        let full = load.kv_permille >= cfg.kv_full_permille;
        let surcharge = [
            (full, cfg.kv_full_cost),
            (view.stale, cfg.stale_cost),
            (view.remote, cfg.remote_cost),
        ];
        let surcharge: u64 = surcharge
            .iter()
            .filter(|(applies, _)| *applies)
            .map(|(_, cost)| u64::try_from(cost.as_micros()).unwrap_or(u64::MAX))
            .sum();
        let work = answer + queue + prefill + backlog;
        work.saturating_mul(view.slowdown.max(PER_MILLE)) / PER_MILLE + surcharge
    }
}
