//! Cost functions that rank upstreams for a call.

use {
    super::PER_MILLE,
    crate::{RouteSettings, Speed},
    quay_types::Load,
};

/// State of an upstream as seen when a call is routed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamView {
    /// Load, corrected for the age of the report.
    pub load: Load,
    /// Whether the load report is missing or too old to be reliable.
    pub stale: bool,
    /// Whether the upstream is in another data centre.
    pub remote: bool,
    /// Tokens of the prompt that the upstream would have to prefill.
    pub uncached_tokens: u64,
    /// Factor on the cost compared with peers, in thousandths; values up to
    /// 1,000 have no effect.
    pub slowdown: u64,
    /// Learned speed of the service; `None` before enough responses.
    pub speed: Option<Speed>,
    /// Time of work at this moment compared with the service's mean, in
    /// thousandths; `None` if it is unknown.
    pub pace: Option<u64>,
    /// Number of calls that the upstream runs concurrently; 0 if unknown.
    pub slots: u32,
    /// Mean number of calls at the upstreams of the service whose reports are
    /// current.
    pub typical_calls: u32,
    /// Whether any upstream is expected to hold a part of the prompt.
    pub some_hold: bool,
}

impl UpstreamView {
    /// Calls that run; those sent since the last report count as queued once all
    /// slots are taken.
    fn running(&self) -> u64 {
        let running = u64::from(self.load.running);
        match u64::from(self.slots) {
            0 => running,
            slots => (running + u64::from(self.load.queued)).min(slots),
        }
    }

    /// Expected time for which a call waits until it runs, where an answer takes
    /// `answer`.
    fn expected_wait(&self, cfg: &RouteSettings, answer: u64) -> u64 {
        let (running, queued) = (u64::from(self.load.running), u64::from(self.load.queued));
        let slots = u64::from(self.slots);
        // With `running` calls in progress, one ends about every `answer /
        // running`.
        if slots == 0 {
            return queued * answer / running.max(1);
        }
        let calls = running + queued;
        let seen = (calls + 1).saturating_sub(slots) * answer / slots;
        let used = self.running() * PER_MILLE / slots;
        let unseen = used.pow(4) / PER_MILLE.pow(3) * cfg.unseen_wait / PER_MILLE;
        // Where most slots of the service are taken, leaving the holder of a
        // prompt costs more than it saves.
        let unseen = if self.some_hold {
            let taken = u64::from(self.typical_calls) * PER_MILLE / slots;
            unseen * PER_MILLE.saturating_sub(taken) / PER_MILLE
        } else {
            unseen
        };
        seen + answer * unseen / PER_MILLE
    }
}

/// Cost function of upstreams; the one with the lowest cost is selected.
pub trait Score {
    /// Whether the cost depends on the blocks that each upstream holds.
    const USES_PREFIX_INDEX: bool;

    /// Cost of sending a call to an upstream; in microseconds where the unit
    /// matters.
    fn cost(cfg: &RouteSettings, view: &UpstreamView) -> u64;
}

/// Prefers the upstream with the fewest calls, queued or running.
#[derive(Debug)]
pub struct LeastLoad;

impl Score for LeastLoad {
    const USES_PREFIX_INDEX: bool = false;

    fn cost(_: &RouteSettings, view: &UpstreamView) -> u64 {
        u64::from(view.load.queued) + u64::from(view.load.running)
    }
}

/// Prefers the upstream with the longest cached prefix unless it is overloaded,
/// and among equals the one with the fewest calls.
#[derive(Debug)]
pub struct LongestPrefix;

/// Exceeds any number of calls on an upstream.
const CALLS_LIMIT: u64 = 1 << 20;

/// Number of calls above which an upstream counts as overloaded.
const OVERLOADED: u64 = 40;

impl Score for LongestPrefix {
    const USES_PREFIX_INDEX: bool = true;

    fn cost(cfg: &RouteSettings, view: &UpstreamView) -> u64 {
        let calls = LeastLoad::cost(cfg, view);
        let overloaded = u64::from(calls > OVERLOADED) << 60;
        overloaded + view.uncached_tokens * CALLS_LIMIT + calls
    }
}

/// Prefers the upstream with the shortest expected time to the complete answer,
/// including the delay that the call causes to other calls.
#[derive(Debug)]
pub struct ExpectedTime;

impl Score for ExpectedTime {
    const USES_PREFIX_INDEX: bool = true;

    fn cost(cfg: &RouteSettings, view: &UpstreamView) -> u64 {
        let load = &view.load;
        let running = view.running();
        let gap = match u64::from(load.token_gap_us) {
            0 => cfg.token_gap_us,
            known => known,
        };
        let (answer, prefill_ns) = if let Some(speed) = &view.speed {
            let answer = speed.answer_ns + running * speed.per_running_ns;
            (answer / 1_000, speed.prefill_ns)
        } else {
            let answer = cfg.answer_tokens * (gap + running * cfg.per_running_us);
            (answer, cfg.prefill_us * 1_000)
        };
        let queue = view.expected_wait(cfg, answer);
        let weight = cfg.prefix_weight + cfg.prefix_per_running * running;
        let prefill = view.uncached_tokens * prefill_ns / 1_000 * weight / PER_MILLE;
        let backlog = load.backlog * prefill_ns / 1_000;
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
        let paced = work.saturating_mul(view.pace.unwrap_or(PER_MILLE)) / PER_MILLE;
        paced.saturating_mul(view.slowdown.max(PER_MILLE)) / PER_MILLE + surcharge
    }
}
