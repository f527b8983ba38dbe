//! `sapphirequay experiment policy`.

use {gumdrop::Options, std::error::Error};

/// Arguments of `experiment policy`.
#[derive(Debug, Options)]
pub struct PolicyArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "seed of every random choice", default = "1")]
    seed: u64,
    #[options(help = "print JSON instead of a table")]
    json: bool,
}

/// Runs the experiment and prints its report.
pub fn run(args: &PolicyArgs) -> Result<(), Box<dyn Error>> {
    let format = if args.json { "JSON" } else { "table" };
    Err(format!("no policy to compare yet (seed {}, {format})", args.seed).into())
}
