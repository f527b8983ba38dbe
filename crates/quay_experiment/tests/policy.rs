//! Tests of the policy experiment.

use quay_experiment::policy::{Deployment, POLICY_NAMES, Scenario, run_policy};

fn short(deployment: Deployment, faults: bool) -> Scenario {
    Scenario {
        seconds: 12,
        ..Scenario::new(deployment, 900, faults)
    }
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let scenario = short(Deployment::Olivera, true);
    let run = |seed| run_policy("the policy", &scenario, seed);
    assert_eq!(run(3), run(3));
    assert_ne!(run(3), run(4));
}

#[test]
fn every_policy_tells_each_program_its_end() {
    // A run asserts by itself that no program is left without one.
    for name in POLICY_NAMES {
        let scenario = Scenario {
            seconds: 4,
            ..short(Deployment::Ordinalia, true)
        };
        let stats = run_policy(name, &scenario, 1).expect("a known policy");
        assert!(stats.programs > 0, "{name}");
    }
}

#[test]
fn two_poison_programs_cost_at_most_three_engines_each() {
    for seed in [1, 2] {
        let scenario = short(Deployment::Ordinalia, true);
        let stats = run_policy("the policy", &scenario, seed).expect("a known policy");
        assert!(
            (1..=6).contains(&stats.lost_to_poison),
            "{}",
            stats.lost_to_poison
        );
        let without = run_policy("less quarantine", &scenario, seed).expect("a known policy");
        assert!(without.lost_to_poison > 6, "{}", without.lost_to_poison);
    }
}
