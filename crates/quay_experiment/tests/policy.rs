//! Tests of the policy simulation.

use quay_experiment::policy::{Deployment, POLICY_NAMES, Scenario, run_policy};

fn short_scenario(deployment: Deployment, faults: bool) -> Scenario {
    Scenario {
        seconds: 12,
        ..Scenario::new(deployment, 900, faults)
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let scenario = short_scenario(Deployment::Olivera, true);
    let run = |seed| run_policy("the policy", &scenario, seed);
    assert_eq!(run(3), run(3));
    assert_ne!(run(3), run(4));
}

#[test]
fn every_policy_gives_each_program_an_outcome() {
    // The simulation asserts that every program has an outcome.
    for name in POLICY_NAMES {
        let scenario = Scenario {
            seconds: 4,
            ..short_scenario(Deployment::Ordinalia, true)
        };
        let stats = run_policy(name, &scenario, 1).expect("a known policy");
        assert!(stats.programs > 0, "{name}");
    }
}

#[test]
fn two_poison_programs_crash_at_most_three_engines_each() {
    for seed in [1, 2] {
        let scenario = short_scenario(Deployment::Ordinalia, true);
        let stats = run_policy("the policy", &scenario, seed).expect("a known policy");
        assert!(
            (1..=6).contains(&stats.lost_to_poison),
            "{}",
            stats.lost_to_poison
        );
        let without_quarantine =
            run_policy("less quarantine", &scenario, seed).expect("a known policy");
        assert!(
            without_quarantine.lost_to_poison > 6,
            "{}",
            without_quarantine.lost_to_poison
        );
    }
}
