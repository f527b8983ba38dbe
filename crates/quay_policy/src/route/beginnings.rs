//! Shared beginnings of prompts, and at how many upstreams they have their homes.

use {super::PER_MILLE, indexmap::IndexMap, quay_types::Tokens};

/// Number of calls after which all counts are halved.
const WINDOW: u32 = 1_024;

/// Number of calls after which the number of homes is computed again.
const REFRESH: u32 = 64;

/// Share of the calls from which a beginning counts, in thousandths: one that is used
/// less often is not kept in memory anyway.
const MIN_SHARE: u32 = 5;

/// Share of the calls from which a beginning has homes at all upstreams, in thousandths.
/// At a part of them it would load these more than the others.
const COMMON_SHARE: u32 = 250;

/// Largest divisor of the number of upstreams: the fewer homes a beginning has, the less
/// evenly the load is spread.
const MAX_DIVISOR: usize = 4;

/// Beginning of a prompt that other prompts share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptBeginning {
    /// Its identifier.
    pub id: u64,
    /// Its length.
    pub tokens: Tokens,
    /// Size of an upstream's memory for prompts.
    pub memory: Tokens,
}

/// Beginnings of recent calls. All entries see about the same ones, so they agree on the
/// homes without asking each other.
#[derive(Debug, Default)]
pub(super) struct Beginnings {
    /// Number of recent calls and length of each.
    seen: IndexMap<u64, (u32, Tokens)>,
    calls: u32,
    /// Number of calls since the divisor was computed.
    since: u32,
    divisor: usize,
}

impl Beginnings {
    /// Counts a call. `share` is the part of an upstream's memory that beginnings may
    /// take, in thousandths.
    pub(super) fn record(&mut self, beginning: &PromptBeginning, share: u64) {
        let seen = self.seen.entry(beginning.id).or_default();
        *seen = (seen.0 + 1, beginning.tokens);
        self.calls += 1;
        if self.calls >= WINDOW {
            self.seen.retain(|_, (count, _)| {
                *count /= 2;
                *count > 0
            });
            self.calls = self.seen.values().map(|(count, _)| count).sum();
        }
        self.since += 1;
        if self.since >= REFRESH {
            self.since = 0;
            let room = beginning.memory.0 * share / PER_MILLE;
            self.divisor = self.divisor_for(room);
        }
    }

    /// Least divisor with which the beginnings at one upstream fit into `room` tokens.
    fn divisor_for(&self, room: u64) -> usize {
        let counted = self.seen.values();
        let counted = counted.filter(|(count, _)| count * 1_000 >= self.calls * MIN_SHARE);
        let tokens: u64 = counted.map(|(_, tokens)| tokens.0).sum();
        let mut divisor = 1;
        while divisor < MAX_DIVISOR && tokens > room * divisor as u64 {
            divisor *= 2;
        }
        divisor
    }

    /// Number of the `all` upstreams at which a beginning has its homes.
    pub(super) fn homes(&self, beginning: &PromptBeginning, all: usize) -> usize {
        let count = self.seen.get(&beginning.id).map_or(0, |(count, _)| *count);
        if count * 1_000 >= self.calls * COMMON_SHARE {
            all
        } else {
            all.div_ceil(self.divisor.max(1))
        }
    }
}
