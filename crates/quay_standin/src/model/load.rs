//! Load reports that come late.

use {
    super::ModelSettings,
    quay_types::Time,
    std::{collections::VecDeque, time::Duration},
};

/// Load of an engine as it was at `at`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// When the load was so.
    pub at: Time,
    /// Jobs in the batch.
    pub running: u32,
    /// Jobs that wait for a place in the batch.
    pub waiting: u32,
    /// KV memory that running jobs use, in thousandths.
    pub kv_permille: u16,
    /// Mean duration of recent steps in microseconds.
    pub token_gap_us: u32,
}

/// Reports that are on their way.
#[derive(Debug)]
pub(super) struct LoadReports {
    every: Duration,
    lag: Duration,
    due: Time,
    reports: VecDeque<LoadReport>,
}

impl LoadReports {
    pub(super) fn new(settings: &ModelSettings) -> Self {
        Self {
            every: settings.load_every.max(Duration::from_millis(1)),
            lag: settings.load_lag,
            due: Time::ZERO,
            reports: VecDeque::new(),
        }
    }

    /// Takes a sample if one is due.
    pub(super) fn sample(&mut self, now: Time, sample: impl FnOnce() -> LoadReport) {
        if now < self.due {
            return;
        }
        self.due = now + self.every;
        self.reports.push_back(LoadReport {
            at: now,
            ..sample()
        });
    }

    /// The newest report that is old enough to be known.
    pub(super) fn newest(&mut self, now: Time) -> Option<LoadReport> {
        while self
            .reports
            .get(1)
            .is_some_and(|next| next.at + self.lag <= now)
        {
            self.reports.pop_front();
        }
        let first = self.reports.front()?;
        (first.at + self.lag <= now).then_some(*first)
    }
}
