//! Seeded simulations with fault injection, and tests that the safety checks
//! detect deliberate protocol errors.

use {
    quay_quorum::{
        Mutation, Settings,
        check::{Report, Simulation, SimulationSettings},
    },
    std::panic::{AssertUnwindSafe, catch_unwind},
};

/// Number of steps of one run.
const STEPS: u64 = 30_000;

fn run(seed: u64, cfg: SimulationSettings) -> Report {
    Simulation::new(cfg, seed)
        .run(STEPS)
        .unwrap_or_else(|violation| panic!("seed {seed}: {violation}"))
}

#[test]
fn safety_holds_under_faults() {
    for seed in 0..6 {
        let report = run(seed, SimulationSettings::default());
        println!("seed {seed}: {report:?}");
        // A run without requests, elections or faults would prove nothing.
        assert!(report.acknowledged > 100, "{report:?}");
        assert!(report.reads > 20, "{report:?}");
        assert!(report.elections > 5, "{report:?}");
        assert!(report.crashes > 5 && report.partitions > 5, "{report:?}");
        assert!(report.stalls > 2, "{report:?}");
    }
}

#[test]
fn lost_hosts_are_replaced_and_snapshots_installed() {
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
    let replaced_hosts: u64 = reports.iter().map(|report| report.replaced_hosts).sum();
    let snapshots_installed: u64 = reports
        .iter()
        .map(|report| report.snapshots_installed)
        .sum();
    assert!(replaced_hosts >= 4, "{reports:?}");
    assert!(snapshots_installed >= 4, "{reports:?}");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let cfg = SimulationSettings::default();
    assert_eq!(run(3, cfg), run(3, cfg));
}

/// Whether at least one of several runs with a protocol error is detected, by a
/// safety violation or by a failed assertion of a replica.
fn detected(mutation: Mutation) -> bool {
    (0..8).any(|seed| {
        let mut cfg = SimulationSettings::default();
        cfg.replica.mutation = mutation;
        let result = catch_unwind(AssertUnwindSafe(|| Simulation::new(cfg, seed).run(STEPS)));
        !matches!(result, Ok(Ok(_)))
    })
}

#[test]
fn protocol_errors_are_detected() {
    assert!(!detected(Mutation::None));
    assert!(detected(Mutation::ReplyBeforePersist));
    assert!(detected(Mutation::ReadWithoutQuorum));
    assert!(detected(Mutation::IgnoreLogCompleteness));
}

#[test]
fn safety_holds_for_every_order_of_events_up_to_a_depth() {
    let exploration =
        quay_quorum::check::explore(Settings::default(), 5, 20_000).expect("no safety violation");
    println!("{exploration:?}");
    assert!(exploration.states > 3_000, "{exploration:?}");
    assert!(exploration.commits >= 1, "{exploration:?}");
}
