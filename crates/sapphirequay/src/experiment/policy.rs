//! `sapphirequay experiment policy`: compares scheduling policies on a simulated
//! engine.

use {
    gumdrop::Options,
    quay_experiment::policy::{plot, run_policies},
    std::{error::Error, fs, path::PathBuf},
};

/// Arguments of `experiment policy`.
#[derive(Debug, Options)]
pub struct PolicyArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "seed of every random choice", default = "1")]
    seed: u64,
    #[options(help = "print JSON instead of tables")]
    json: bool,
    #[options(
        help = "run only policies whose name contains one of these comma-separated texts",
        meta = "TEXT"
    )]
    only: String,
    #[options(
        help = "run only scenarios whose name contains this text",
        meta = "TEXT"
    )]
    within: String,
    #[options(help = "write a plot to this SVG file", meta = "FILE")]
    plot: Option<PathBuf>,
}

/// Runs the experiment and prints its report.
pub fn run(args: &PolicyArgs) -> Result<(), Box<dyn Error>> {
    let report = run_policies(args.seed, &args.only, &args.within);
    if let Some(path) = &args.plot {
        fs::write(path, plot(&report)?)?;
    }
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    Ok(())
}
