//! Detects that an upstream is failing while its sidecar still responds.

use {
    quay_types::{Time, UpstreamState},
    std::{collections::VecDeque, time::Duration},
};

/// Thresholds for marking an upstream as failing and as recovered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthSettings {
    /// Age after which the outcome of a request is ignored.
    pub window: Duration,
    /// Number of failures within the window at which an upstream is marked as
    /// failing, if at least half of the outcomes are failures.
    pub failures: usize,
    /// Interval between probes of a failing upstream.
    pub probe_interval: Duration,
    /// Number of consecutive successful probes after which the upstream serves
    /// again.
    pub good_probes: u32,
    /// Upper limit of the hold time, for which a failing upstream stays out of
    /// service even if its probes succeed. A failure sooner than this after a
    /// recovery counts as a relapse.
    pub max_hold: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            failures: 3,
            probe_interval: Duration::from_secs(1),
            good_probes: 2,
            max_hold: Duration::from_mins(1),
        }
    }
}

/// Health of one upstream, derived from the outcomes of requests and probes.
#[derive(Debug)]
pub struct Health {
    settings: HealthSettings,
    /// Outcomes within the window, oldest first; `true` means success.
    outcomes: VecDeque<(Time, bool)>,
    /// Time at which the upstream was marked as failing.
    failing_since: Option<Time>,
    /// Time of the last recovery.
    recovered: Option<Time>,
    /// Number of consecutive successful probes.
    good_probes: u32,
    /// Time at which the next probe is due.
    next_probe: Time,
    /// Minimum time out of service; doubles with each relapse.
    hold: Duration,
}

impl Health {
    /// Creates the health of an upstream with no recorded outcomes.
    #[must_use]
    pub const fn new(settings: HealthSettings) -> Self {
        let hold = settings.probe_interval;
        Self {
            settings,
            outcomes: VecDeque::new(),
            failing_since: None,
            recovered: None,
            good_probes: 0,
            next_probe: Time::ZERO,
            hold,
        }
    }

    /// State to announce if the upstream is not draining.
    #[must_use]
    pub const fn state(&self) -> UpstreamState {
        match self.failing_since {
            Some(_) => UpstreamState::Failing,
            None => UpstreamState::Serving,
        }
    }

    /// Records the outcome of a request.
    pub fn record_outcome(&mut self, now: Time, good: bool) {
        self.outcomes.push_back((now, good));
        self.drop_expired(now);
        if self.failing_since.is_none() && self.too_many_failures() {
            self.fail(now);
        }
    }

    /// Returns whether a probe is due and, if so, schedules the next one.
    pub fn probe_due(&mut self, now: Time) -> bool {
        if self.failing_since.is_none() || now < self.next_probe {
            return false;
        }
        self.next_probe = now + self.settings.probe_interval;
        true
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, now: Time, good: bool) {
        let Some(since) = self.failing_since else {
            return;
        };
        if !good {
            self.good_probes = 0;
            return;
        }
        self.good_probes += 1;
        let held = now.since(since) >= self.hold;
        if held && self.good_probes >= self.settings.good_probes {
            self.recover(now);
        }
    }

    /// Drops outcomes that are older than the window.
    fn drop_expired(&mut self, now: Time) {
        let window = self.settings.window;
        while self
            .outcomes
            .front()
            .is_some_and(|(at, _)| now.since(*at) > window)
        {
            self.outcomes.pop_front();
        }
    }

    /// Whether the failures within the window reach the threshold and make up at
    /// least half of the outcomes.
    fn too_many_failures(&self) -> bool {
        let failures = self.outcomes.iter().filter(|(_, good)| !good).count();
        failures >= self.settings.failures && failures * 2 >= self.outcomes.len()
    }

    /// Marks the upstream as failing.
    fn fail(&mut self, now: Time) {
        // A failure soon after a recovery shows that successful probes are not
        // enough evidence of health, so the hold time doubles.
        let relapse = self
            .recovered
            .is_some_and(|at| now.since(at) < self.settings.max_hold);
        self.hold = if relapse {
            (self.hold * 2).min(self.settings.max_hold)
        } else {
            self.settings.probe_interval
        };
        self.failing_since = Some(now);
        self.good_probes = 0;
        self.next_probe = now + self.settings.probe_interval;
    }

    /// Marks the upstream as serving.
    fn recover(&mut self, now: Time) {
        self.failing_since = None;
        self.recovered = Some(now);
        self.outcomes.clear();
    }
}
