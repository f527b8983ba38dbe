//! Seeded runs under faults, and proof that they see broken decisions.

use {
    quay_quorum::{
        Mutation, Settings,
        check::{Report, World, WorldSettings},
    },
    std::panic::{AssertUnwindSafe, catch_unwind},
};

/// Steps of one run.
const STEPS: u64 = 30_000;

fn run(seed: u64, cfg: WorldSettings) -> Report {
    World::new(cfg, seed)
        .run(STEPS)
        .unwrap_or_else(|broken| panic!("seed {seed}: {broken}"))
}

#[test]
fn no_rule_is_broken_under_faults() {
    for seed in 0..6 {
        let report = run(seed, WorldSettings::default());
        println!("seed {seed}: {report:?}");
        // Each fault must have been brought about, or the run shows nothing.
        assert!(report.answers > 100, "{report:?}");
        assert!(report.reads > 20, "{report:?}");
        assert!(report.elections > 5, "{report:?}");
        assert!(report.crashes > 5 && report.cuts > 5, "{report:?}");
    }
}

#[test]
fn lost_disks_are_replaced_and_snapshots_taken() {
    let reports: Vec<Report> = (20..24)
        .map(|seed| {
            run(
                seed,
                WorldSettings {
                    replicas: 5,
                    ..WorldSettings::default()
                },
            )
        })
        .collect();
    let repairs: u64 = reports.iter().map(|report| report.repairs).sum();
    let restores: u64 = reports.iter().map(|report| report.restores).sum();
    assert!(repairs >= 4, "{reports:?}");
    assert!(restores >= 4, "{reports:?}");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let cfg = WorldSettings::default();
    assert_eq!(run(3, cfg), run(3, cfg));
}

/// Whether any of a few runs with a broken decision is caught.
fn caught(mutation: Mutation) -> bool {
    (0..8).any(|seed| {
        let mut cfg = WorldSettings::default();
        cfg.replica.mutation = mutation;
        let ran = catch_unwind(AssertUnwindSafe(|| World::new(cfg, seed).run(STEPS)));
        !matches!(ran, Ok(Ok(_)))
    })
}

#[test]
fn broken_decisions_are_caught() {
    assert!(!caught(Mutation::None));
    assert!(caught(Mutation::AnswerBeforeSave));
    assert!(caught(Mutation::ReadAlone));
    assert!(caught(Mutation::VoteForAnyone));
}

#[test]
fn every_order_of_events_holds_the_rules_to_a_depth() {
    let explored = quay_quorum::check::explore(Settings::default(), 5, 20_000).expect("rules hold");
    println!("{explored:?}");
    assert!(explored.states > 3_000, "{explored:?}");
    assert!(explored.commits >= 1, "{explored:?}");
}
