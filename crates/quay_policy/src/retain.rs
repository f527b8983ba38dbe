//! What happens to the KV memory of programs that pause or have ended.

use {
    indexmap::IndexMap,
    quay_types::{ProgramId, Time},
    std::time::Duration,
};

/// Weight of the newest pause in the mean, as a divisor.
const PAUSE_MEAN: u32 = 8;

/// Knobs of retention.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetentionSettings {
    /// Expected pause from which on KV is exported; zero exports none.
    pub export_after: Duration,
    /// Pauses this many times as long as expected end in a drop of exported KV.
    pub drop_after_pauses: u32,
    /// Whether KV of ended programs is released.
    pub release: bool,
    /// Interval at which the ledger is asked which programs have ended.
    pub sweep_interval: Duration,
    /// Pause that is expected before any was seen.
    pub initial_pause: Duration,
    /// Programs that are remembered.
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

/// What a sidecar is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RetentionAction {
    /// Copy the program's KV out of the upstream and release it there.
    Export(ProgramId),
    /// Put the program's exported KV back before its next call.
    Import(ProgramId),
    /// Release what the upstream holds for the program, and any exported copy.
    Release(ProgramId),
    /// Ask the ledger which of these programs have ended.
    QueryEnded(Box<[ProgramId]>),
}

/// What is known of one program at one upstream.
#[derive(Debug, Clone, Copy)]
struct Held {
    running: u32,
    idle_since: Time,
    exported: bool,
    /// Whether the program has ended while a call of it ran.
    ended: bool,
}

/// KV memory of the programs at one upstream.
#[derive(Debug)]
pub struct Retention {
    cfg: RetentionSettings,
    programs: IndexMap<ProgramId, Held>,
    pause: Duration,
    sweep_due: Time,
}

impl Retention {
    /// Knows no program yet.
    #[must_use]
    pub fn new(cfg: RetentionSettings) -> Self {
        Self {
            programs: IndexMap::new(),
            pause: cfg.initial_pause,
            sweep_due: Time::ZERO + cfg.sweep_interval,
            cfg,
        }
    }

    /// Pause that is expected between two calls of a program.
    #[must_use]
    pub const fn expected_pause(&self) -> Duration {
        self.pause
    }

    /// Programs that something may be held for.
    #[must_use]
    pub fn len(&self) -> usize {
        self.programs.len()
    }

    /// Whether nothing is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }

    /// A call of a program starts.
    pub fn call_started(&mut self, now: Time, program: ProgramId) -> Vec<RetentionAction> {
        let mut actions = Vec::new();
        if !self.programs.contains_key(&program) {
            actions.extend(self.make_room());
        }
        let held = self.programs.entry(program).or_insert(Held {
            running: 0,
            idle_since: now,
            exported: false,
            ended: false,
        });
        if held.running == 0 {
            let pause = now.since(held.idle_since);
            if !pause.is_zero() {
                self.pause = (self.pause * (PAUSE_MEAN - 1) + pause) / PAUSE_MEAN;
            }
        }
        held.running += 1;
        if std::mem::take(&mut held.exported) {
            actions.push(RetentionAction::Import(program));
        }
        actions
    }

    /// A call of a program has ended; the program pauses unless others run.
    pub fn call_ended(&mut self, now: Time, program: ProgramId) -> Option<RetentionAction> {
        let held = self.programs.get_mut(&program)?;
        held.running = held.running.saturating_sub(1);
        if held.running > 0 {
            return None;
        }
        if held.ended {
            self.programs.swap_remove(&program);
            return Some(RetentionAction::Release(program));
        }
        held.idle_since = now;
        let export = !self.cfg.export_after.is_zero() && self.pause >= self.cfg.export_after;
        held.exported = export;
        export.then_some(RetentionAction::Export(program))
    }

    /// A program has ended. What a running call still uses is released when the
    /// call has ended too.
    pub fn program_ended(&mut self, program: ProgramId) -> Option<RetentionAction> {
        if !self.cfg.release {
            return None;
        }
        let held = self.programs.get_mut(&program)?;
        if held.running > 0 {
            held.ended = true;
            return None;
        }
        self.programs.swap_remove(&program);
        Some(RetentionAction::Release(program))
    }

    /// The upstream has lost everything it held.
    pub fn clear(&mut self) {
        self.programs.clear();
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time) -> Vec<RetentionAction> {
        let mut actions = self.drop_old(now);
        if self.cfg.release && now >= self.sweep_due {
            self.sweep_due = now + self.cfg.sweep_interval;
            let idle = self.programs.iter().filter(|(_, held)| {
                held.running == 0 && now.since(held.idle_since) >= self.cfg.sweep_interval
            });
            let idle: Box<[_]> = idle.map(|(program, _)| *program).collect();
            if !idle.is_empty() {
                actions.push(RetentionAction::QueryEnded(idle));
            }
        }
        actions
    }

    /// Releases programs that pause far longer than expected.
    fn drop_old(&mut self, now: Time) -> Vec<RetentionAction> {
        if !self.cfg.release {
            return Vec::new();
        }
        let limit = self.pause.max(self.cfg.sweep_interval) * self.cfg.drop_after_pauses;
        let old = |held: &Held| held.running == 0 && now.since(held.idle_since) > limit;
        let dropped: Vec<_> = self
            .programs
            .iter()
            .filter(|(_, held)| old(held))
            .map(|(program, _)| RetentionAction::Release(*program))
            .collect();
        self.programs.retain(|_, held| !old(held));
        dropped
    }

    /// Releases the program that has been idle for longest if too many are known.
    fn make_room(&mut self) -> Option<RetentionAction> {
        if self.programs.len() < self.cfg.max_programs {
            return None;
        }
        let idle = self.programs.iter().filter(|(_, held)| held.running == 0);
        let oldest = idle.min_by_key(|(_, held)| held.idle_since);
        let program = oldest.map(|(program, _)| *program)?;
        self.programs.swap_remove(&program);
        Some(RetentionAction::Release(program))
    }
}
