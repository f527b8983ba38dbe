//! Decision whether a service serves a new program.

use {
    super::new_programs::{NewProgram, NewProgramGate},
    indexmap::IndexMap,
    quay_types::{Time, UpstreamId},
    std::{fmt, time::Duration},
};

/// Number of thousandths in a whole.
const PER_MILLE: u64 = 1_000;

/// Settings of the decision on new programs. Shares are given in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProgramAdmissionSettings {
    /// Requests at the upstreams, of those that they can run, from which some of the
    /// new programs are refused. At least 1,000: none is refused while there is room.
    pub refuse_from: u64,
    /// Requests at the upstreams from which all new programs are refused.
    pub refuse_all: u64,
    /// The host's own delay, of the latency objective, from which all new programs are
    /// refused.
    pub refuse_host: u64,
    /// Factor on the ranges above for the most urgent programs.
    pub urgent_factor: u64,
    /// Age from which a report of an upstream is not used.
    pub max_report_age: Duration,
    /// Number of upstreams with a usable report below which the reports do not stand
    /// for all upstreams.
    pub min_reports: usize,
    /// Age from which the host's own delay is not used. A saturated host measures
    /// seldom, so this is several of its intervals.
    pub max_delay_age: Duration,
}

impl Default for ProgramAdmissionSettings {
    fn default() -> Self {
        Self {
            refuse_from: 1_000,
            refuse_all: 1_150,
            refuse_host: 500,
            urgent_factor: 2,
            max_report_age: Duration::from_millis(500),
            min_reports: 4,
            max_delay_age: Duration::from_secs(2),
        }
    }
}

/// A value and the time at which it was measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Measured<T> {
    /// The value.
    pub value: T,
    /// Time of the measurement.
    pub at: Time,
}

impl<T: Copy> Measured<T> {
    /// The value, unless it is older than `max_age`.
    #[must_use]
    pub fn fresh(&self, now: Time, max_age: Duration) -> Option<T> {
        (now.since(self.at) < max_age).then_some(self.value)
    }
}

/// Two latest measurements of how late a host does what is due.
///
/// One late measurement may come from a pause that is over, so the smaller counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RecentDelays([Option<Measured<Duration>>; 2]);

impl RecentDelays {
    /// Records a measurement.
    pub const fn record(&mut self, now: Time, delay: Duration) {
        let measured = Measured {
            value: delay,
            at: now,
        };
        self.0 = [Some(measured), self.0[0]];
    }

    /// The host's delay; `None` if it is unknown.
    #[must_use]
    pub fn lasting(&self, now: Time, max_age: Duration) -> Option<Duration> {
        let [last, before] = self.0;
        let last = last?.fresh(now, max_age)?;
        Some(last.min(before?.fresh(now, max_age)?))
    }
}

/// Requests at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotUse {
    /// Running and waiting requests.
    pub requests: u32,
    /// Requests that the upstream runs at a time.
    pub slots: u32,
}

/// Fact that decided on the refusal of a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// Requests of this front waited too long at upstreams.
    Wait,
    /// Upstreams have more requests than they can run.
    Queue,
    /// This host is late with what is due.
    Host,
}

impl RefusalCause {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Wait => "wait",
            Self::Queue => "queue",
            Self::Host => "host",
        }
    }
}

impl fmt::Display for RefusalCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Refusal of a program, with the inputs of the decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProgramRefusal {
    /// Fact that decided.
    pub cause: RefusalCause,
    /// Expected wait of a request at an upstream.
    pub expected_wait: Duration,
    /// Requests at the upstreams in thousandths of those that they can run, if known.
    pub slot_use: Option<u64>,
    /// The host's own delay, if known.
    pub host_delay: Option<Duration>,
}

/// Decides whether a service serves a new program.
///
/// Addresses bursts above the capacity of the upstreams and of the host. A wait is
/// known only when it is over; the queues that upstreams report tell earlier of a burst.
#[derive(Debug, Default)]
pub struct ProgramAdmission {
    cfg: ProgramAdmissionSettings,
    gate: NewProgramGate,
    slot_use: IndexMap<UpstreamId, Measured<SlotUse>>,
}

impl ProgramAdmission {
    /// Records how long a request waited; see [`NewProgramGate::record_wait`].
    pub fn record_wait(&mut self, now: Time, wait: Duration, objective: Duration) {
        self.gate.record_wait(now, wait, objective);
    }

    /// Records the requests that an upstream reports.
    pub fn record_slot_use(&mut self, now: Time, id: UpstreamId, value: SlotUse) {
        self.slot_use.insert(id, Measured { value, at: now });
    }

    /// Drops reports that are not used any more.
    pub fn tick(&mut self, now: Time) {
        let max_age = self.cfg.max_report_age;
        self.slot_use
            .retain(|_, report| report.fresh(now, max_age).is_some());
    }

    /// Requests at the upstreams in thousandths of those that they can run; `None` if
    /// too few upstreams have reported lately.
    #[must_use]
    pub fn mean_slot_use(&self, now: Time) -> Option<u64> {
        let reports = self.slot_use.values();
        let fresh = reports.filter_map(|report| report.fresh(now, self.cfg.max_report_age));
        let (mut reports, mut requests, mut slots) = (0, 0_u64, 0_u64);
        for report in fresh.filter(|report| report.slots > 0) {
            reports += 1;
            requests += u64::from(report.requests);
            slots += u64::from(report.slots);
        }
        (reports >= self.cfg.min_reports).then(|| requests * PER_MILLE / slots.max(1))
    }

    /// Returns why a new program is refused, if it is; one without an objective never is.
    #[must_use]
    pub fn refuse(
        &self,
        now: Time,
        program: &NewProgram,
        host_delays: &RecentDelays,
    ) -> Option<ProgramRefusal> {
        if program.objective.is_zero() {
            return None;
        }
        let slot_use = self.mean_slot_use(now);
        let host_delay = host_delays.lasting(now, self.cfg.max_delay_age);
        let factor = if program.most_urgent {
            self.cfg.urgent_factor
        } else {
            1
        };
        let host_limit = program.objective.as_micros() * u128::from(self.cfg.refuse_host * factor);
        let host_late =
            host_delay.is_some_and(|it| it.as_micros() * u128::from(PER_MILLE) > host_limit);
        let range = self.cfg.refuse_all.saturating_sub(self.cfg.refuse_from) * factor;
        let excess = slot_use.map_or(0, |it| it.saturating_sub(self.cfg.refuse_from));
        let cause = if host_late {
            RefusalCause::Host
        } else if program.draw % PER_MILLE < excess * PER_MILLE / range.max(1) {
            RefusalCause::Queue
        } else if self.gate.refuses(now, program) {
            RefusalCause::Wait
        } else {
            return None;
        };
        Some(ProgramRefusal {
            cause,
            expected_wait: self.gate.expected_wait(now),
            slot_use,
            host_delay,
        })
    }
}
