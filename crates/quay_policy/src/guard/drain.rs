//! Shutdown of a host within a grace period: when it stops taking connections, which
//! requests it still takes, and when those in progress get their final answer.

use {quay_types::Time, std::time::Duration};

/// Times of a shutdown.
#[derive(Debug, Clone, Copy)]
pub struct DrainSettings {
    /// Time for which connections stay open after the host reports itself not ready.
    pub linger: Duration,
    /// Part of the grace period reserved for the last answers and reports, and for the
    /// exit of the process.
    pub reserve: Duration,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            // Two readiness probes 1 s apart, and the transit of the responses.
            linger: Duration::from_millis(2_500),
            reserve: Duration::from_millis(700),
        }
    }
}

/// Divisor of the grace period that bounds the reserve, so that a short grace period is
/// mostly left to requests.
const MAX_RESERVE_SHARE: u32 = 4;

/// Schedule of a shutdown that has begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainPlan {
    began: Time,
    closes: Time,
    ends: Time,
    exits: Time,
}

impl DrainPlan {
    /// Schedules a shutdown that begins now and ends within `grace`.
    #[must_use]
    pub fn new(now: Time, grace: Duration, cfg: &DrainSettings) -> Self {
        let reserve = cfg.reserve.min(grace / MAX_RESERVE_SHARE);
        let serving = grace.saturating_sub(reserve);
        Self {
            began: now,
            closes: now + cfg.linger.min(serving / 2),
            ends: now + serving,
            exits: now + grace,
        }
    }

    /// Time at which the shutdown began.
    #[must_use]
    pub const fn began(&self) -> Time {
        self.began
    }

    /// Time from which connections are closed between two requests.
    #[must_use]
    pub const fn closes(&self) -> Time {
        self.closes
    }

    /// Time at which requests in progress get their final answer.
    #[must_use]
    pub const fn ends(&self) -> Time {
        self.ends
    }

    /// Time by which the process must have ended.
    #[must_use]
    pub const fn exits(&self) -> Time {
        self.exits
    }

    /// Whether a request that may take `time_out` may be sent to an upstream now: it must
    /// end before its answer would be cut off. Until connections are closed callers have
    /// not been told to go elsewhere, and one that may be repeated is admitted.
    #[must_use]
    pub fn admits(&self, now: Time, time_out: Duration, repeatable: bool) -> bool {
        let ends_in_time = now < self.ends && now + time_out <= self.ends;
        ends_in_time || repeatable && now < self.closes
    }
}

/// Gap between two runs of a periodic task from which on its process stood still. A signal
/// that is read later than that by less is covered by the reserve of the grace period.
const STANDSTILL: Duration = Duration::from_millis(500);

/// Longest time after a standstill in which a signal is read that was sent during it.
const SIGNAL_DELAY: Duration = Duration::from_millis(100);

/// Tells when a signal can have been sent that a process reads: one that stood still, for
/// example since its machine was paused, reads it late.
#[derive(Debug, Clone, Copy, Default)]
pub struct StandstillClock {
    /// When the periodic task ran last.
    ran: Time,
    /// Begin and end of the last standstill.
    stood: Option<(Time, Time)>,
}

impl StandstillClock {
    /// Records that a task ran, which runs several times a second.
    pub fn record_run(&mut self, now: Time) {
        if now.since(self.ran) >= STANDSTILL {
            self.stood = Some((self.ran, now));
        }
        self.ran = now;
    }

    /// Earliest time at which a signal that is read now can have been sent.
    #[must_use]
    pub fn signal_sent(&self, now: Time) -> Time {
        if now.since(self.ran) >= STANDSTILL {
            return self.ran;
        }
        match self.stood {
            // The task may have run before the signal was read.
            Some((from, until)) if now.since(until) < SIGNAL_DELAY => from,
            _ => now,
        }
    }
}
