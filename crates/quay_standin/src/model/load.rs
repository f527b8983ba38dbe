//! Load reports that are published with a delay.

use {
    super::ModelSettings,
    quay_types::Time,
    std::{collections::VecDeque, time::Duration},
};

/// Load of an engine at the time `at`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Time of the sample.
    pub at: Time,
    /// Number of jobs in the batch.
    pub running: u32,
    /// Number of jobs waiting for a place in the batch.
    pub waiting: u32,
    /// Share of the KV memory that running jobs use, in thousandths.
    pub kv_permille: u16,
    /// Mean duration of recent steps in microseconds.
    pub token_gap_us: u32,
}

/// Load reports, sampled at a fixed interval and published after a lag.
#[derive(Debug)]
pub(super) struct LoadReports {
    interval: Duration,
    lag: Duration,
    next_sample: Time,
    reports: VecDeque<LoadReport>,
}

impl LoadReports {
    pub(super) fn new(settings: &ModelSettings) -> Self {
        Self {
            interval: settings.load_interval.max(Duration::from_millis(1)),
            lag: settings.load_lag,
            next_sample: Time::ZERO,
            reports: VecDeque::new(),
        }
    }

    /// Samples the load if the next sample is due.
    pub(super) fn sample(&mut self, now: Time, sample: impl FnOnce() -> LoadReport) {
        if now < self.next_sample {
            return;
        }
        self.next_sample = now + self.interval;
        self.reports.push_back(LoadReport {
            at: now,
            ..sample()
        });
    }

    /// Latest published report: the newest that is at least as old as the lag.
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
