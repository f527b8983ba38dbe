//! `sapphirequay experiment capacity`: measures costs per unit of load and
//! extrapolates them to the design target.

use {
    gumdrop::Options,
    quay_experiment::capacity::run_capacity,
    std::{env, error::Error, fs, process},
};

/// Arguments of `experiment capacity`.
#[derive(Debug, Options)]
pub struct CapacityArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print JSON instead of a table")]
    json: bool,
}

/// Measures the slopes and prints them with the extrapolated figures.
pub fn run(args: &CapacityArgs) -> Result<(), Box<dyn Error>> {
    let scratch = env::temp_dir().join(format!("sapphirequay-capacity-{}", process::id()));
    fs::create_dir(&scratch)?;
    let report = run_capacity(&scratch);
    fs::remove_dir_all(&scratch)?;
    let report = report?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
        return Ok(());
    }
    for slope in &report.slopes {
        println!("{slope}");
    }
    println!();
    for row in &report.rows {
        println!("{row}");
    }
    Ok(())
}
