//! Refusal of new programs while a service is overloaded.

use {quay_types::Time, std::time::Duration};

/// The newest wait has a weight of 1 / `WAIT_DIVISOR` in the moving average.
const WAIT_DIVISOR: u32 = 16;

/// Number of thousandths in a whole.
const PER_MILLE: u64 = 1_000;

/// Settings of the refusal of new programs. Waits are given in thousandths of
/// the latency objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewProgramSettings {
    /// Wait from which some of the new programs are refused.
    pub refuse_from: u64,
    /// Wait from which all new programs are refused; above `refuse_from`.
    pub refuse_all: u64,
    /// Factor on both waits for the most urgent programs.
    pub urgent_factor: u64,
    /// Time without calls after which half of the mean wait is forgotten.
    pub half_life: Duration,
}

impl Default for NewProgramSettings {
    fn default() -> Self {
        Self {
            refuse_from: 250,
            refuse_all: 500,
            urgent_factor: 2,
            half_life: Duration::from_millis(500),
        }
    }
}

/// A program that is about to make its first call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewProgram {
    /// Latency objective of the call.
    pub objective: Duration,
    /// Whether no other programs of the service are more urgent.
    pub most_urgent: bool,
    /// Hash of the program's identifier; the same at all entries, so that a
    /// program is not begun at one and refused at another.
    pub draw: u64,
}

/// Decides whether a service can take a new program.
///
/// A program takes as much capacity if it ends late as if it ends in time, so
/// beginning more of them than can end in time delays all.
#[derive(Debug, Default)]
pub struct NewProgramGate {
    cfg: NewProgramSettings,
    mean_wait: Duration,
    last_call: Time,
}

impl NewProgramGate {
    /// Creates a gate that has seen no calls.
    #[must_use]
    pub fn new(cfg: NewProgramSettings) -> Self {
        Self {
            cfg,
            ..Self::default()
        }
    }

    /// Records how long a call waited for the first part of its response.
    ///
    /// A wait counts as at most `objective`, the latency objective of the call,
    /// so that a few calls that were held up do not stand for all. Calls without
    /// an objective do not count.
    pub fn record_wait(&mut self, now: Time, wait: Duration, objective: Duration) {
        if objective.is_zero() {
            return;
        }
        let wait = wait.min(objective);
        self.mean_wait = (self.mean_wait * (WAIT_DIVISOR - 1) + wait) / WAIT_DIVISOR;
        self.last_call = now;
    }

    /// Expected wait of a call.
    #[must_use]
    pub fn expected_wait(&self, now: Time) -> Duration {
        let idle = now.since(self.last_call).as_micros();
        let halvings = idle / self.cfg.half_life.as_micros().max(1);
        let divisor = 1_u32.checked_shl(u32::try_from(halvings).unwrap_or(u32::MAX));
        divisor.map_or(Duration::ZERO, |divisor| self.mean_wait / divisor)
    }

    /// Whether a new program is refused; one without an objective never is.
    #[must_use]
    pub fn refuses(&self, now: Time, program: &NewProgram) -> bool {
        if program.objective.is_zero() {
            return false;
        }
        let micros = |span: Duration| u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        let factor = if program.most_urgent {
            self.cfg.urgent_factor
        } else {
            1
        };
        let objective = micros(program.objective).saturating_mul(factor);
        let wait = micros(self.expected_wait(now)).saturating_mul(PER_MILLE) / objective;
        let range = self.cfg.refuse_all.saturating_sub(self.cfg.refuse_from);
        let excess = wait
            .saturating_sub(self.cfg.refuse_from)
            .saturating_mul(PER_MILLE);
        program.draw % PER_MILLE < excess / range.max(1)
    }
}
