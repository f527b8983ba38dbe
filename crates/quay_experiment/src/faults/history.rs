//! Trial for histories: replicas lose no commit, and the histories of programs
//! are kept apart.

use {
    crate::faults::{CallWorld, Decisions, Promise, Score, Trial},
    quay_quorum::{
        Mutation, Settings,
        check::{Report, Simulation, SimulationSettings},
    },
    rand::Rng as _,
    rand_chacha::ChaCha8Rng,
};

/// A simulated replica group and, independently, a simulation of ledger calls.
///
/// The replica checker detects lost, changed or reordered commits and stale
/// reads; the call simulation checks that each answer is in the history of its
/// own program.
pub struct HistoryWorld {
    calls: CallWorld,
    replicas: Simulation,
    /// Counters of the replica simulation after the previous step.
    report: Report,
    /// Whether the checker found a violation; the replica simulation stops
    /// then.
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
            score.check(false, || format!("replicas: {violation:?}"));
            return;
        }
        let report = self.replicas.report();
        score.faults += fault_count(&report) - fault_count(&self.report);
        score.tested += check_count(&report) - check_count(&self.report);
        self.report = report;
    }

    fn settle(&mut self, rng: &mut ChaCha8Rng, score: &mut Score) {
        self.calls.settle(rng, score);
    }
}

/// Number of faults injected into the replicas so far.
const fn fault_count(report: &Report) -> u64 {
    report.crashes + report.partitions + report.pauses + report.lost_disks
}

/// Number of acknowledged commands and reads, each of which the checker
/// compares with the committed log.
const fn check_count(report: &Report) -> u64 {
    report.acknowledged + report.reads
}
