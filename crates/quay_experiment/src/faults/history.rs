//! Histories: replicas lose no commit, and programs do not mix.

use {
    crate::faults::{CallWorld, Decisions, Promise, Score, Trial},
    quay_quorum::{
        Mutation, Settings,
        check::{Report, Simulation, SimulationSettings},
    },
    rand::Rng as _,
    rand_chacha::ChaCha8Rng,
};

/// Replicas of a group beside a ledger's calls.
///
/// The group's judge names a lost, changed or reordered commit and a stale
/// read; the calls tell whether each answer is in its own program's history.
pub struct HistoryWorld {
    calls: CallWorld,
    replicas: Simulation,
    /// What the replicas were put to so far.
    report: Report,
    /// Whether a rule of the replicas is broken; they stop then.
    broken: bool,
}

impl Trial for HistoryWorld {
    fn new(promise: Promise, decisions: Decisions, rng: &mut ChaCha8Rng) -> Self {
        let cfg = SimulationSettings::default();
        let mutation = match decisions {
            Decisions::Real => Mutation::None,
            Decisions::Mutated => Mutation::ReplyBeforePersist,
        };
        let replica = Settings {
            mutation,
            ..cfg.replica
        };
        Self {
            calls: CallWorld::new(promise, Decisions::Real, rng),
            replicas: Simulation::new(SimulationSettings { replica, ..cfg }, rng.next_u64()),
            report: Report::default(),
            broken: false,
        }
    }

    fn step(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        self.calls.step(rng, score);
        if self.broken {
            return;
        }
        if let Err(violation) = self.replicas.run(1) {
            self.broken = true;
            score.test(false, || format!("replicas: {violation:?}"));
            return;
        }
        let report = self.replicas.report();
        score.faults += faults(&report) - faults(&self.report);
        score.tested += tests(&report) - tests(&self.report);
        self.report = report;
    }

    fn settle(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        self.calls.settle(rng, score);
    }
}

/// Faults of the replicas so far.
const fn faults(report: &Report) -> u64 {
    report.crashes + report.partitions + report.pauses + report.lost_disks
}

/// Answers and reads, each of which the judge holds against what was committed.
const fn tests(report: &Report) -> u64 {
    report.acknowledged + report.reads
}
