//! Decides whether an upstream is failing although its sidecar is alive.

use {
    quay_types::{Time, UpstreamState},
    std::{collections::VecDeque, time::Duration},
};

/// When an upstream counts as failing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthSettings {
    /// Age at which an outcome no longer counts.
    pub window: Duration,
    /// Failures within the window that make an upstream failing, if at least
    /// half of the outcomes are failures.
    pub failures: usize,
    /// Time between two probes of a failing upstream.
    pub probe_every: Duration,
    /// Good probes in a row after which the upstream serves again.
    pub good_probes: u32,
    /// Longest time that an upstream which keeps failing stays out after its
    /// probes are good.
    pub max_hold: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(10),
            failures: 3,
            probe_every: Duration::from_secs(1),
            good_probes: 2,
            max_hold: Duration::from_mins(1),
        }
    }
}

/// Health of one upstream, from the outcomes of its requests.
#[derive(Debug)]
pub struct Health {
    settings: HealthSettings,
    /// Outcomes within the window, oldest first; `true` is good.
    outcomes: VecDeque<(Time, bool)>,
    /// Since when the upstream is failing.
    failing_since: Option<Time>,
    /// When the upstream recovered last.
    recovered: Option<Time>,
    /// Good probes in a row.
    good_probes: u32,
    /// When the next probe is due.
    next_probe: Time,
    /// How long the upstream stays out at least; doubles with each relapse.
    hold: Duration,
}

impl Health {
    /// Health of an upstream of which nothing is known.
    #[must_use]
    pub const fn new(settings: HealthSettings) -> Self {
        let hold = settings.probe_every;
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

    /// State to announce, apart from draining.
    #[must_use]
    pub const fn state(&self) -> UpstreamState {
        match self.failing_since {
            Some(_) => UpstreamState::Failing,
            None => UpstreamState::Serving,
        }
    }

    /// Takes the outcome of a request.
    pub fn record_outcome(&mut self, now: Time, good: bool) {
        self.outcomes.push_back((now, good));
        self.forget(now);
        if self.failing_since.is_none() && self.too_many_failures() {
            self.fail(now);
        }
    }

    /// Whether a probe is due; if so, the next is due later.
    pub fn probe_due(&mut self, now: Time) -> bool {
        if self.failing_since.is_none() || now < self.next_probe {
            return false;
        }
        self.next_probe = now + self.settings.probe_every;
        true
    }

    /// Takes the result of a probe.
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

    /// Drops outcomes that are too old to count.
    fn forget(&mut self, now: Time) {
        let window = self.settings.window;
        while self
            .outcomes
            .front()
            .is_some_and(|(at, _)| now.since(*at) > window)
        {
            self.outcomes.pop_front();
        }
    }

    /// Whether failures within the window are many and at least half.
    fn too_many_failures(&self) -> bool {
        let failures = self.outcomes.iter().filter(|(_, good)| !good).count();
        failures >= self.settings.failures && failures * 2 >= self.outcomes.len()
    }

    /// Takes the upstream out.
    fn fail(&mut self, now: Time) {
        // A relapse soon after a recovery: probes alone say too little.
        let relapse = self
            .recovered
            .is_some_and(|at| now.since(at) < self.settings.max_hold);
        self.hold = if relapse {
            (self.hold * 2).min(self.settings.max_hold)
        } else {
            self.settings.probe_every
        };
        self.failing_since = Some(now);
        self.good_probes = 0;
        self.next_probe = now + self.settings.probe_every;
    }

    /// Lets the upstream serve again.
    fn recover(&mut self, now: Time) {
        self.failing_since = None;
        self.recovered = Some(now);
        self.outcomes.clear();
    }
}
