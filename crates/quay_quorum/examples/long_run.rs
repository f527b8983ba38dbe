//! Long seeded simulation of a group of replicas with fault injection.
//!
//! Usage: `long_run SEED STEPS REPLICAS`.

use {
    quay_quorum::check::{Simulation, SimulationSettings},
    std::{env, process::ExitCode},
};

fn main() -> ExitCode {
    let mut numbers = env::args().skip(1).map(|arg| arg.parse::<u64>().ok());
    let mut next = |default| numbers.next().flatten().unwrap_or(default);
    let (seed, steps, replicas) = (next(1), next(1_000_000), next(3));
    let cfg = SimulationSettings {
        replicas,
        ..SimulationSettings::default()
    };
    match Simulation::new(cfg, seed).run(steps) {
        Ok(report) => {
            println!("seed={seed} replicas={replicas} {report:?}");
            ExitCode::SUCCESS
        }
        Err(violation) => {
            println!("seed={seed} replicas={replicas} broken: {violation}");
            ExitCode::FAILURE
        }
    }
}
