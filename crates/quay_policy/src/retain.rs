//! Retention of the KV memory of paused and ended programs.

use {
    indexmap::IndexMap,
    quay_types::{ProgramId, Time},
    std::time::Duration,
};

/// The newest pause has a weight of 1 / `PAUSE_MEAN_DIVISOR` in the moving
/// average.
const PAUSE_MEAN_DIVISOR: u32 = 8;

/// Settings of retention.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetentionSettings {
    /// KV memory is exported when the expected pause is at least this long;
    /// zero disables export.
    pub export_after: Duration,
    /// KV memory of a program is released when its pause exceeds the expected
    /// pause by this factor.
    pub drop_after_pauses: u32,
    /// Whether KV memory of ended programs is released.
    pub release: bool,
    /// Interval between queries to the ledger for programs that have ended.
    pub sweep_interval: Duration,
    /// Expected pause before any pause was observed.
    pub initial_pause: Duration,
    /// Maximum number of programs that are tracked.
    pub max_programs: usize,
}

impl Default for RetentionSettings {
    fn default() -> Self {
        Self {
            export_after: Duration::from_millis(500),
            drop_after_pauses: 16,
            release: true,
            sweep_interval: Duration::from_secs(10),
            initial_pause: Duration::from_secs(2),
            max_programs: 4_096,
        }
    }
}

/// Action for the sidecar to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RetentionAction {
    /// Copy the program's KV memory out of the upstream and release it there.
    Export(ProgramId),
    /// Restore the program's exported KV memory before its next call.
    Import(ProgramId),
    /// Release the KV memory that the upstream holds for the program, and any
    /// exported copy.
    Release(ProgramId),
    /// Query the ledger for which of these programs have ended.
    QueryEnded(Box<[ProgramId]>),
}

/// Retention state of one program at one upstream.
#[derive(Debug, Clone, Copy)]
struct ProgramState {
    running: u32,
    idle_since: Time,
    exported: bool,
    /// Whether the program ended while one of its calls was running.
    ended: bool,
}

/// Retention state of all programs at one upstream.
#[derive(Debug)]
pub struct Retention {
    cfg: RetentionSettings,
    programs: IndexMap<ProgramId, ProgramState>,
    mean_pause: Duration,
    sweep_due: Time,
}

impl Retention {
    /// Creates a state without programs.
    #[must_use]
    pub fn new(cfg: RetentionSettings) -> Self {
        Self {
            programs: IndexMap::new(),
            mean_pause: cfg.initial_pause,
            sweep_due: Time::ZERO + cfg.sweep_interval,
            cfg,
        }
    }

    /// Expected pause between two calls of a program, as a moving average.
    #[must_use]
    pub const fn expected_pause(&self) -> Duration {
        self.mean_pause
    }

    /// Number of programs for which the upstream may hold KV memory.
    #[must_use]
    pub fn len(&self) -> usize {
        self.programs.len()
    }

    /// Whether no programs are tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }

    /// Records the start of a program's call.
    pub fn call_started(&mut self, now: Time, program: ProgramId) -> Vec<RetentionAction> {
        let mut actions = Vec::new();
        if !self.programs.contains_key(&program) {
            actions.extend(self.evict_longest_idle());
        }
        let state = self.programs.entry(program).or_insert(ProgramState {
            running: 0,
            idle_since: now,
            exported: false,
            ended: false,
        });
        if state.running == 0 {
            let pause = now.since(state.idle_since);
            if !pause.is_zero() {
                self.mean_pause =
                    (self.mean_pause * (PAUSE_MEAN_DIVISOR - 1) + pause) / PAUSE_MEAN_DIVISOR;
            }
        }
        state.running += 1;
        if std::mem::take(&mut state.exported) {
            actions.push(RetentionAction::Import(program));
        }
        actions
    }

    /// Records the end of a program's call. The program is paused unless other
    /// calls of the program are running.
    pub fn call_ended(&mut self, now: Time, program: ProgramId) -> Option<RetentionAction> {
        let state = self.programs.get_mut(&program)?;
        state.running = state.running.saturating_sub(1);
        if state.running > 0 {
            return None;
        }
        if state.ended {
            self.programs.swap_remove(&program);
            return Some(RetentionAction::Release(program));
        }
        state.idle_since = now;
        let export = !self.cfg.export_after.is_zero() && self.mean_pause >= self.cfg.export_after;
        state.exported = export;
        export.then_some(RetentionAction::Export(program))
    }

    /// Records the end of a program. While a call of the program is running,
    /// the release is deferred until the last call has ended.
    pub fn program_ended(&mut self, program: ProgramId) -> Option<RetentionAction> {
        if !self.cfg.release {
            return None;
        }
        let state = self.programs.get_mut(&program)?;
        if state.running > 0 {
            state.ended = true;
            return None;
        }
        self.programs.swap_remove(&program);
        Some(RetentionAction::Release(program))
    }

    /// Removes all programs, since the upstream has lost its KV memory.
    pub fn clear(&mut self) {
        self.programs.clear();
    }

    /// Returns the actions that are due at `now`.
    pub fn tick(&mut self, now: Time) -> Vec<RetentionAction> {
        let mut actions = self.release_stale(now);
        if self.cfg.release && now >= self.sweep_due {
            self.sweep_due = now + self.cfg.sweep_interval;
            let idle = self.programs.iter().filter(|(_, state)| {
                state.running == 0 && now.since(state.idle_since) >= self.cfg.sweep_interval
            });
            let idle: Box<[_]> = idle.map(|(program, _)| *program).collect();
            if !idle.is_empty() {
                actions.push(RetentionAction::QueryEnded(idle));
            }
        }
        actions
    }

    /// Releases programs whose pause far exceeds the expected one.
    fn release_stale(&mut self, now: Time) -> Vec<RetentionAction> {
        if !self.cfg.release {
            return Vec::new();
        }
        let limit = self.mean_pause.max(self.cfg.sweep_interval) * self.cfg.drop_after_pauses;
        let stale =
            |state: &ProgramState| state.running == 0 && now.since(state.idle_since) > limit;
        let released: Vec<_> = self
            .programs
            .iter()
            .filter(|(_, state)| stale(state))
            .map(|(program, _)| RetentionAction::Release(*program))
            .collect();
        self.programs.retain(|_, state| !stale(state));
        released
    }

    /// Releases the program that has been idle for longest if the maximum
    /// number of programs is reached.
    fn evict_longest_idle(&mut self) -> Option<RetentionAction> {
        if self.programs.len() < self.cfg.max_programs {
            return None;
        }
        let idle = self.programs.iter().filter(|(_, state)| state.running == 0);
        let oldest = idle.min_by_key(|(_, state)| state.idle_since);
        let program = oldest.map(|(program, _)| *program)?;
        self.programs.swap_remove(&program);
        Some(RetentionAction::Release(program))
    }
}
