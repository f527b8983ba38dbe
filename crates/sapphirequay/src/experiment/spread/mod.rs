//! `sapphirequay experiment spread`: measures how fast and at what network cost
//! the configuration and the directory of upstreams reach the daemons.
//!
//! State machines and codecs are those of the daemon. Time and network delay
//! are simulated, so the same seed prints the same JSON.

mod configuration;
mod directory;
mod queue;

use {
    gumdrop::Options,
    std::{error::Error, time::Duration},
};

/// Arguments of `experiment spread`.
#[derive(Debug, Options)]
pub struct SpreadArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "seed of every random choice", default = "1")]
    seed: u64,
    #[options(
        no_short,
        help = "number of client accounts in the document",
        default = "360"
    )]
    accounts: u32,
    #[options(no_short, help = "number of configuration changes", default = "20")]
    changes: u32,
    #[options(
        no_short,
        help = "number of sidecars that announce themselves",
        default = "600"
    )]
    sidecars: u32,
    #[options(help = "print JSON instead of lines")]
    json: bool,
}

/// Runs both simulations and prints their results.
pub fn run(args: &SpreadArgs) -> Result<(), Box<dyn Error>> {
    let configuration = [3, 30, 300]
        .map(|subscribers| configuration::run(args.seed, subscribers, args.accounts, args.changes));
    let configuration = configuration.into_iter().collect::<Result<Vec<_>, _>>()?;
    let directory = directory::run(args.seed, args.sidecars)?;
    if args.json {
        let value = serde_json::json!({
            "configuration": configuration, "directory": directory,
        });
        println!("{}", serde_json::to_string_pretty(&value)?);
        return Ok(());
    }
    for row in &configuration {
        println!("{row}");
    }
    print!("{directory}");
    Ok(())
}

/// Converts a duration to whole milliseconds.
fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Size in bytes of an encoded message with its length prefix.
fn frame_bytes(message: &impl serde::Serialize) -> Result<u64, postcard::Error> {
    const LENGTH_PREFIX_BYTES: u64 = 4;
    let body = postcard::to_stdvec(message)?.len();
    Ok(body as u64 + LENGTH_PREFIX_BYTES)
}
