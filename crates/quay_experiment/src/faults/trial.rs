//! How a trial is driven.

use {
    crate::faults::{Promise, PromiseReport},
    rand::SeedableRng as _,
    rand_chacha::ChaCha8Rng,
};

/// Steps after which a trial starts afresh, so that early states are met often.
const STEPS_PER_WORLD: u64 = 2_000;

/// Whether a trial's decisions are the real ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decisions {
    /// As in the daemon.
    Real,
    /// One decision is wrong on purpose, so that a test can show that the trial
    /// sees it.
    Mutated,
}

/// What a trial has counted.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Score {
    /// Faults brought about.
    pub faults: u64,
    /// How often the promise was put to the test.
    pub tested: u64,
    /// How often it broke.
    pub broken: u64,
    /// What was seen the first time.
    pub first: Option<Box<str>>,
}

impl Score {
    /// Counts a test of the promise; `what` is only asked for if it broke.
    pub fn test(&mut self, held: bool, what: impl FnOnce() -> String) {
        self.tested += 1;
        if !held {
            self.broken += 1;
            self.first.get_or_insert_with(|| what().into());
        }
    }

    /// Counts a fault.
    pub const fn fault(&mut self) {
        self.faults += 1;
    }
}

/// The smallest set of state machines that carries some promises, under attack.
pub trait Trial: Sized {
    /// A new world in which `promise` is put to the test.
    fn new(promise: Promise, decisions: Decisions, rng: &mut ChaCha8Rng) -> Self;

    /// Takes one random step: ordinary work or a fault.
    fn step(&mut self, rng: &mut ChaCha8Rng, score: &mut Score);

    /// Heals every fault, lets the world settle and tests what must hold then.
    fn settle(&mut self, rng: &mut ChaCha8Rng, score: &mut Score);
}

/// Runs a trial for `steps` steps; the same seed gives the same report.
#[must_use]
pub fn run_trial<T: Trial>(
    promise: Promise,
    seed: u64,
    steps: u64,
    decisions: Decisions,
) -> PromiseReport {
    let mut score = Score::default();
    let mut taken = 0;
    while taken < steps {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Worlds differ by stream, so that their draws never overlap.
        rng.set_stream(taken);
        let mut world = T::new(promise, decisions, &mut rng);
        let run = STEPS_PER_WORLD.min(steps - taken);
        for _ in 0..run {
            world.step(&mut rng, &mut score);
        }
        world.settle(&mut rng, &mut score);
        taken += run;
    }
    let Score {
        faults,
        tested,
        broken,
        first,
    } = score;
    PromiseReport {
        promise,
        steps,
        faults,
        tested,
        broken,
        first,
    }
}
