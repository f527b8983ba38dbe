//! Seeded runs under faults, and proof that they see broken decisions.

use {
    quay_quorum::{
        Mutation, Settings,
        check::{Report, Simulation, SimulationSettings},
    },
    std::panic::{AssertUnwindSafe, catch_unwind},
};

/// Steps of one run.
const STEPS: u64 = 30_000;

fn run(seed: u64, cfg: SimulationSettings) -> Report {
    Simulation::new(cfg, seed)
        .run(STEPS)
        .unwrap_or_else(|broken| panic!("seed {seed}: {broken}"))
}

#[test]
fn no_rule_is_broken_under_faults() {
    for seed in 0..6 {
        let report = run(seed, SimulationSettings::default());
        println!("seed {seed}: {report:?}");
        // Each fault must have been brought about, or the run shows nothing.
        assert!(report.acknowledged > 100, "{report:?}");
        assert!(report.reads > 20, "{report:?}");
        assert!(report.elections > 5, "{report:?}");
        assert!(report.crashes > 5 && report.partitions > 5, "{report:?}");
    }
}

#[test]
fn lost_disks_are_replaced_and_snapshots_taken() {
    let reports: Vec<Report> = (20..24)
        .map(|seed| {
            run(
                seed,
                SimulationSettings {
                    replicas: 5,
                    ..SimulationSettings::default()
                },
            )
        })
        .collect();
    let repairs: u64 = reports.iter().map(|report| report.replaced_hosts).sum();
    let restores: u64 = reports
        .iter()
        .map(|report| report.snapshots_installed)
        .sum();
    assert!(repairs >= 4, "{reports:?}");
    assert!(restores >= 4, "{reports:?}");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let cfg = SimulationSettings::default();
    assert_eq!(run(3, cfg), run(3, cfg));
}

/// Whether any of a few runs with a broken decision is caught.
fn caught(mutation: Mutation) -> bool {
    (0..8).any(|seed| {
        let mut cfg = SimulationSettings::default();
        cfg.replica.mutation = mutation;
        let ran = catch_unwind(AssertUnwindSafe(|| Simulation::new(cfg, seed).run(STEPS)));
        !matches!(ran, Ok(Ok(_)))
    })
}

#[test]
fn broken_decisions_are_caught() {
    assert!(!caught(Mutation::None));
    assert!(caught(Mutation::ReplyBeforePersist));
    assert!(caught(Mutation::ReadWithoutQuorum));
    assert!(caught(Mutation::IgnoreLogCompleteness));
}

#[test]
fn every_order_of_events_holds_the_rules_to_a_depth() {
    let exploration =
        quay_quorum::check::explore(Settings::default(), 5, 20_000).expect("rules hold");
    println!("{exploration:?}");
    assert!(exploration.states > 3_000, "{exploration:?}");
    assert!(exploration.commits >= 1, "{exploration:?}");
}
