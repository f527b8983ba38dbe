//! Trial for graceful shutdown: calls in progress are completed.

use {
    crate::faults::{
        Decisions, Promise, Score, Trial,
        random::{chance, draw, draw_ms, draw_slot},
    },
    quay_types::Time,
    rand_chacha::ChaCha8Rng,
    sapphirequayd::{InProgressGuard, Lifecycle},
    std::time::Duration,
};

/// Number of entries, and of sidecars.
const PROCESSES: usize = 3;

/// Maximum duration of a call, in milliseconds.
const MAX_CALL_MS: u64 = 3_000;

/// A process that can be told to drain.
#[derive(Default)]
struct Process {
    lifecycle: Lifecycle,
    /// Whether the process has exited.
    ended: bool,
}

/// A call in progress on an entry and, once a sidecar has accepted it, on that
/// sidecar.
struct Call {
    entry: usize,
    sidecar: Option<usize>,
    ends: Time,
    /// Guards that keep the entry and the sidecar from exiting.
    guards: Vec<InProgressGuard>,
}

/// Entries and sidecars that begin to drain at random steps while calls run.
pub struct ShutdownWorld {
    now: Time,
    mutated: bool,
    entries: Vec<Process>,
    sidecars: Vec<Process>,
    calls: Vec<Call>,
}

/// Returns `PROCESSES` new processes.
fn new_processes() -> Vec<Process> {
    (0..PROCESSES).map(|_| Process::default()).collect()
}

impl Trial for ShutdownWorld {
    fn new(_: Promise, decisions: Decisions, _: &mut ChaCha8Rng) -> Self {
        Self {
            now: Time::ZERO,
            mutated: decisions == Decisions::Mutated,
            entries: new_processes(),
            sidecars: new_processes(),
            calls: Vec::new(),
        }
    }

    fn step(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        self.now = self.now + Duration::from_millis(10);
        if chance(rng, 300) {
            self.begin_call(rng, score);
        }
        self.offer_calls(rng);
        if chance(rng, 30) {
            score.record_fault();
            let slot = draw_slot(rng, PROCESSES);
            let process = if chance(rng, 500) {
                &self.entries[slot]
            } else {
                &self.sidecars[slot]
            };
            process.lifecycle.drain();
        }
        let now = self.now;
        self.calls
            .retain(|call| call.sidecar.is_none() || call.ends > now);
        self.end_idle(score);
        self.replace_ended(rng);
    }

    fn settle(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        for process in self.entries.iter().chain(&self.sidecars) {
            process.lifecycle.drain();
        }
        for _ in 0..MAX_CALL_MS / 5 {
            self.now = self.now + Duration::from_millis(10);
            self.offer_calls(rng);
            let now = self.now;
            self.calls.retain(|call| call.ends > now);
            self.end_idle(score);
        }
        let ended = self
            .entries
            .iter()
            .chain(&self.sidecars)
            .all(|process| process.ended);
        score.check(ended, || "a leaving process never ended".into());
    }
}

impl ShutdownWorld {
    /// Sends a call to a random entry.
    fn begin_call(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        let entry = draw_slot(rng, PROCESSES);
        let leaving = self.entries[entry].lifecycle.draining();
        let begun = self.entries[entry].lifecycle.begin();
        score.check(begun.is_none() == leaving, || {
            "a leaving entry took a call".into()
        });
        let Some(guard) = begun else { return };
        let ends = self.now + draw_ms(rng, MAX_CALL_MS);
        self.calls.push(Call {
            entry,
            sidecar: None,
            ends,
            guards: vec![guard],
        });
    }

    /// Offers calls without a sidecar to random sidecars; a draining sidecar
    /// refuses.
    fn offer_calls(&mut self, rng: &mut ChaCha8Rng) {
        for call in self.calls.iter_mut().filter(|call| call.sidecar.is_none()) {
            let slot = draw_slot(rng, PROCESSES);
            if let Some(guard) = self.sidecars[slot].lifecycle.begin() {
                call.sidecar = Some(slot);
                call.guards.push(guard);
            }
        }
    }

    /// Ends the draining processes that have no call in progress.
    fn end_idle(&mut self, score: &mut Score) {
        let mutated = self.mutated;
        let idle = |process: &Process| process.lifecycle.in_progress() == 0 || mutated;
        for (slot, process) in self.entries.iter_mut().enumerate() {
            if process.lifecycle.draining() && !process.ended && idle(process) {
                process.ended = true;
                let cut = self.calls.iter().filter(|call| call.entry == slot).count();
                score.check(cut == 0, || {
                    format!("an entry ended with {cut} calls in progress")
                });
            }
        }
        for (slot, process) in self.sidecars.iter_mut().enumerate() {
            if process.lifecycle.draining() && !process.ended && idle(process) {
                process.ended = true;
                let cut = self
                    .calls
                    .iter()
                    .filter(|call| call.sidecar == Some(slot))
                    .count();
                score.check(cut == 0, || {
                    format!("a sidecar ended with {cut} calls in progress")
                });
            }
        }
    }

    /// Replaces ended processes by new ones, each with a probability of 1 in
    /// 20.
    fn replace_ended(&mut self, rng: &mut ChaCha8Rng) {
        let ended = self
            .entries
            .iter_mut()
            .chain(&mut self.sidecars)
            .filter(|process| process.ended);
        for process in ended {
            if draw(rng, 20) == 0 {
                *process = Process::default();
            }
        }
    }
}
