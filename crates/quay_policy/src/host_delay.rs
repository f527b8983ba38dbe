//! Delay of a host, measured by how late its timers fire.

use {
    quay_types::Time,
    std::{collections::VecDeque, time::Duration},
};

/// Time for which a sample counts.
const MEMORY: Duration = Duration::from_secs(3);

/// Maximum number of samples kept.
const MAX_SAMPLES: usize = 64;

/// Number of samples before the delay is known: a single late timer may follow
/// a pause of the machine.
const MIN_SAMPLES: usize = 3;

/// Delay of a host and the time at which it was last measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MeasuredDelay {
    /// Median of the recent samples.
    pub typical: Duration,
    /// Greatest of the recent samples.
    pub greatest: Duration,
    /// Age of the latest sample.
    pub age: Duration,
}

/// Recent samples of how late a host's timers fired: the time for which a task
/// that is ready waits until it runs.
#[derive(Debug, Clone, Default)]
pub struct HostDelay {
    /// Oldest first.
    samples: VecDeque<(Time, Duration)>,
}

impl HostDelay {
    /// Records a timer that was due at `due` and fired at `now`.
    pub fn record(&mut self, now: Time, due: Time) {
        self.drop_old(now);
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, now.since(due)));
    }

    /// The delay; `None` if there are too few samples of the last 3 s. A host
    /// that was paused has none from before the pause.
    #[must_use]
    pub fn measured(&self, now: Time) -> Option<MeasuredDelay> {
        let recent = self.samples.iter().filter(|(at, _)| is_recent(now, *at));
        let mut delays: Vec<Duration> = recent.map(|(_, delay)| *delay).collect();
        if delays.len() < MIN_SAMPLES {
            return None;
        }
        delays.sort_unstable();
        let (last, _) = self.samples.back()?;
        Some(MeasuredDelay {
            typical: delays[delays.len() / 2],
            greatest: *delays.last()?,
            age: now.since(*last),
        })
    }

    fn drop_old(&mut self, now: Time) {
        while let Some((at, _)) = self.samples.front() {
            if is_recent(now, *at) {
                break;
            }
            self.samples.pop_front();
        }
    }
}

fn is_recent(now: Time, at: Time) -> bool {
    now.since(at) < MEMORY
}
