//! Load of an upstream, corrected for the age of its report.

use {
    quay_types::{Load, Time},
    std::{collections::VecDeque, time::Duration},
};

/// Sends and ends that are remembered for one upstream at most.
const MAX_RECENT: usize = 512;

/// The latest report and what this process did since.
#[derive(Debug, Default)]
pub(super) struct LoadEstimate {
    report: Option<(Time, Load)>,
    /// Calls sent, with the tokens that they make the upstream prefill; oldest first.
    sent: VecDeque<(Time, u64)>,
    /// Sum of the tokens in `sent`.
    prefill: u64,
    /// Calls ended; oldest first.
    ended: VecDeque<Time>,
}

impl LoadEstimate {
    /// Takes a report of the load as it was at `at`; an older one is ignored.
    pub(super) fn report(&mut self, at: Time, load: Load) {
        if self.report.is_some_and(|(known, _)| known > at) {
            return;
        }
        self.report = Some((at, load));
        let known = self.sent.partition_point(|(sent, _)| *sent <= at);
        self.prefill -= self
            .sent
            .drain(..known)
            .map(|(_, tokens)| tokens)
            .sum::<u64>();
        let known = self.ended.partition_point(|ended| *ended <= at);
        self.ended.drain(..known);
    }

    /// Notes a call sent now.
    pub(super) fn sent(&mut self, now: Time, prefill: u64) {
        if self.sent.len() == MAX_RECENT {
            let oldest = self.sent.pop_front();
            self.prefill -= oldest.map_or(0, |(_, tokens)| tokens);
        }
        self.sent.push_back((now, prefill));
        self.prefill += prefill;
    }

    /// Notes a call ended now.
    pub(super) fn ended(&mut self, now: Time) {
        if self.ended.len() == MAX_RECENT {
            self.ended.pop_front();
        }
        self.ended.push_back(now);
    }

    /// Age of the report; `None` if there is none.
    pub(super) fn age(&self, now: Time) -> Option<Duration> {
        self.report.map(|(at, _)| now.since(at))
    }

    /// The load as reported, corrected if wanted. Without a report the load is
    /// only what was sent.
    pub(super) fn load(&self, correct: bool) -> Load {
        let (_, load) = self.report.unwrap_or_default();
        if !correct {
            return load;
        }
        let sent = u32::try_from(self.sent.len()).unwrap_or(u32::MAX);
        let ended = u32::try_from(self.ended.len()).unwrap_or(u32::MAX);
        Load {
            running: (load.running + sent).saturating_sub(ended),
            backlog: load.backlog + self.prefill,
            ..load
        }
    }
}
