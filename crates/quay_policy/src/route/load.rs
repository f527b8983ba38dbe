//! Load of an upstream, corrected for events since its last report.

use {
    quay_types::{Load, Time},
    std::{collections::VecDeque, time::Duration},
};

/// Maximum number of recent sends, and of recent ends, kept for one upstream.
const MAX_RECENT: usize = 512;

/// The latest load report and the calls that this process has sent and finished
/// since.
#[derive(Debug, Default)]
pub(super) struct LoadEstimate {
    report: Option<(Time, Load)>,
    /// Whether `report` counts only this process's own calls.
    own_only: bool,
    /// Calls sent, with the tokens that each makes the upstream prefill; oldest
    /// first.
    sent: VecDeque<(Time, u64)>,
    /// Number of calls that the upstream says it runs concurrently; 0 if unknown.
    slots: u32,
    /// Sum of the tokens in `sent`.
    prefill: u64,
    /// Calls ended; oldest first.
    ended: VecDeque<Time>,
}

impl LoadEstimate {
    /// Stores a report of the load at time `at`; a report older than the
    /// present one is ignored.
    pub(super) fn report(&mut self, at: Time, load: Load) {
        if self.report.is_some_and(|(known, _)| known > at) {
            return;
        }
        self.report = Some((at, load));
        self.own_only = false;
        let known = self.sent.partition_point(|(sent, _)| *sent <= at);
        self.prefill -= self
            .sent
            .drain(..known)
            .map(|(_, tokens)| tokens)
            .sum::<u64>();
        let known = self.ended.partition_point(|ended| *ended <= at);
        self.ended.drain(..known);
    }

    /// Stores the number of calls that the upstream runs concurrently.
    pub(super) fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Number of calls that the upstream runs concurrently; 0 if unknown.
    pub(super) const fn slots(&self) -> u32 {
        self.slots
    }

    /// Replaces the report by the number of this process's calls in flight.
    pub(super) fn expire(&mut self, now: Time, in_flight: u32) {
        let load = Load {
            running: in_flight,
            ..Load::default()
        };
        self.report(now, load);
        self.own_only = true;
    }

    /// Number of calls queued or running according to the upstream's report;
    /// `None` if only this process's own calls are known.
    pub(super) fn reported_calls(&self) -> Option<u32> {
        let load = self.load(true, 0);
        (self.report.is_some() && !self.own_only).then_some(load.running + load.queued)
    }

    /// Records a call sent at `now`.
    pub(super) fn sent(&mut self, now: Time, prefill: u64) {
        if self.sent.len() == MAX_RECENT {
            let oldest = self.sent.pop_front();
            self.prefill -= oldest.map_or(0, |(_, tokens)| tokens);
        }
        self.sent.push_back((now, prefill));
        self.prefill += prefill;
    }

    /// Records a call ended at `now`.
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

    /// Returns the reported load, corrected if `correct` is set. Without a
    /// report the load consists only of the calls sent.
    ///
    /// Where only this process's own calls are known, other processes are
    /// assumed to raise them to `typical` running calls.
    pub(super) fn load(&self, correct: bool, typical: u32) -> Load {
        let (_, load) = self.report.unwrap_or_default();
        if !correct {
            return load;
        }
        let sent = u32::try_from(self.sent.len()).unwrap_or(u32::MAX);
        let ended = u32::try_from(self.ended.len()).unwrap_or(u32::MAX);
        let running = (load.running + sent).saturating_sub(ended);
        let assumed = if self.own_only { typical } else { 0 };
        Load {
            running: running.max(assumed),
            backlog: load.backlog + self.prefill,
            ..load
        }
    }
}
