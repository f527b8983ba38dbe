//! `sapphirequay experiment faults`: checks the system's promises under seeded
//! fault injection.

use {
    gumdrop::Options,
    quay_experiment::faults::{Decisions, Promise, run_faults},
    std::error::Error,
};

/// Arguments of `experiment faults`.
#[derive(Debug, Options)]
pub struct FaultsArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "seed of every random choice", default = "1")]
    seed: u64,
    #[options(help = "simulation steps per promise", default = "100000")]
    steps: u64,
    #[options(help = "check only this promise", meta = "NAME")]
    promise: Option<String>,
    #[options(help = "inject a defect into one decision; the run must detect it")]
    mutated: bool,
    #[options(help = "print JSON instead of a table")]
    json: bool,
}

/// Runs the simulation and prints its report; fails if a promise is violated.
pub fn run(args: &FaultsArgs) -> Result<(), Box<dyn Error>> {
    let decisions = if args.mutated {
        Decisions::Mutated
    } else {
        Decisions::Real
    };
    let report = run_faults(&promises(args)?, args.seed, args.steps, decisions);
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    if report.held() {
        Ok(())
    } else {
        Err("a promise was violated".into())
    }
}

/// Selects the promises to check: one by name, or all.
fn promises(args: &FaultsArgs) -> Result<Vec<Promise>, Box<dyn Error>> {
    let Some(name) = &args.promise else {
        return Ok(Promise::ALL.to_vec());
    };
    let known = Promise::ALL
        .into_iter()
        .find(|promise| promise.name() == name);
    let promise = known.ok_or_else(|| {
        let names: Vec<_> = Promise::ALL.iter().map(|promise| promise.name()).collect();
        format!(
            "unknown promise {name:?}; known promises: {}",
            names.join(", ")
        )
    })?;
    Ok(vec![promise])
}
