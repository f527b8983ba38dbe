//! The trial interface and the loop that drives a trial.

use {
    crate::faults::{Promise, PromiseReport},
    rand::SeedableRng as _,
    rand_chacha::ChaCha8Rng,
};

/// Number of steps after which a trial restarts with a new world, so that early
/// states are covered often.
const STEPS_PER_WORLD: u64 = 2_000;

/// Selects the real decisions or a deliberately faulty variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decisions {
    /// The decisions that the daemon makes.
    Real,
    /// One decision is deliberately wrong, so that a test can show that the
    /// trial detects the violation.
    Mutated,
}

/// Counters of a trial.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Score {
    /// Number of faults injected.
    pub faults: u64,
    /// Number of times that the promise was checked.
    pub tested: u64,
    /// Number of checks that failed.
    pub broken: u64,
    /// Description of the first violation.
    pub first: Option<Box<str>>,
}

impl Score {
    /// Counts a check of the promise; `describe` is called only for the first
    /// violation.
    pub fn check(&mut self, held: bool, describe: impl FnOnce() -> String) {
        self.tested += 1;
        if !held {
            self.broken += 1;
            self.first.get_or_insert_with(|| describe().into());
        }
    }

    /// Counts an injected fault.
    pub const fn record_fault(&mut self) {
        self.faults += 1;
    }
}

/// A fault-injection simulation of the smallest set of state machines that
/// implements one or more promises.
pub trait Trial: Sized {
    /// Creates a new world in which `promise` is checked.
    fn new(promise: Promise, decisions: Decisions, rng: &mut ChaCha8Rng) -> Self;

    /// Takes one random step of ordinary work, fault injection or both.
    fn step(&mut self, rng: &mut ChaCha8Rng, score: &mut Score);

    /// Injects no further faults, lets the world settle and checks the final
    /// state.
    fn settle(&mut self, rng: &mut ChaCha8Rng, score: &mut Score);
}

/// Runs a trial for `steps` steps; the same arguments give the same report.
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
        // Each world draws from its own random stream, so that draws never
        // overlap.
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
