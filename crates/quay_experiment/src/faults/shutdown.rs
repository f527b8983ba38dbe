//! Graceful shutdown: what has begun is finished.

use {
    crate::faults::{
        Decisions, Promise, Score, Trial,
        chance::{chance, draw, draw_ms, draw_slot},
    },
    quay_types::Time,
    rand_chacha::ChaCha8Rng,
    sapphirequayd::{InProgressGuard, Lifecycle},
    std::time::Duration,
};

/// Processes of each kind.
const PROCESSES: usize = 3;

/// Longest time that a call takes, in milliseconds.
const LONGEST_CALL_MS: u64 = 3_000;

/// A process that can be told to leave.
#[derive(Default)]
struct Process {
    lifecycle: Lifecycle,
    /// Whether it has ended.
    ended: bool,
}

/// A call in progress on an entry, and on a sidecar once one has taken it.
struct Call {
    entry: usize,
    sidecar: Option<usize>,
    ends: Time,
    /// Keep the processes from ending.
    progress: Vec<InProgressGuard>,
}

/// Entries and sidecars that leave at any moment while calls run.
pub struct ShutdownWorld {
    now: Time,
    mutated: bool,
    entries: Vec<Process>,
    sidecars: Vec<Process>,
    calls: Vec<Call>,
}

/// Some processes.
fn processes() -> Vec<Process> {
    (0..PROCESSES).map(|_| Process::default()).collect()
}

impl Trial for ShutdownWorld {
    fn new(_: Promise, decisions: Decisions, _: &mut ChaCha8Rng) -> Self {
        Self {
            now: Time::ZERO,
            mutated: decisions == Decisions::Mutated,
            entries: processes(),
            sidecars: processes(),
            calls: Vec::new(),
        }
    }

    fn step(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        self.now = self.now + Duration::from_millis(10);
        if chance(rng, 300) {
            self.begin(rng, score);
        }
        self.offer(rng);
        if chance(rng, 30) {
            score.fault();
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
        for _ in 0..LONGEST_CALL_MS / 5 {
            self.now = self.now + Duration::from_millis(10);
            self.offer(rng);
            let now = self.now;
            self.calls.retain(|call| call.ends > now);
            self.end_idle(score);
        }
        let ended = self
            .entries
            .iter()
            .chain(&self.sidecars)
            .all(|process| process.ended);
        score.test(ended, || "a leaving process never ended".into());
    }
}

impl ShutdownWorld {
    /// A caller sends a call to some entry.
    fn begin(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        let entry = draw_slot(rng, PROCESSES);
        let leaving = self.entries[entry].lifecycle.draining();
        let begun = self.entries[entry].lifecycle.begin();
        score.test(begun.is_none() == leaving, || {
            "a leaving entry took a call".into()
        });
        let Some(progress) = begun else { return };
        let ends = self.now + draw_ms(rng, LONGEST_CALL_MS);
        self.calls.push(Call {
            entry,
            sidecar: None,
            ends,
            progress: vec![progress],
        });
    }

    /// Entries offer their calls to sidecars; a leaving one refuses.
    fn offer(&mut self, rng: &mut ChaCha8Rng) {
        for call in self.calls.iter_mut().filter(|call| call.sidecar.is_none()) {
            let slot = draw_slot(rng, PROCESSES);
            if let Some(progress) = self.sidecars[slot].lifecycle.begin() {
                call.sidecar = Some(slot);
                call.progress.push(progress);
            }
        }
    }

    /// Ends the leaving processes that have nothing in progress.
    fn end_idle(&mut self, score: &mut Score) {
        let mutated = self.mutated;
        let idle = |process: &Process| process.lifecycle.in_progress() == 0 || mutated;
        for (slot, process) in self.entries.iter_mut().enumerate() {
            if process.lifecycle.draining() && !process.ended && idle(process) {
                process.ended = true;
                let cut = self.calls.iter().filter(|call| call.entry == slot).count();
                score.test(cut == 0, || {
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
                score.test(cut == 0, || {
                    format!("a sidecar ended with {cut} calls in progress")
                });
            }
        }
    }

    /// Starts new processes in place of those that have ended.
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
