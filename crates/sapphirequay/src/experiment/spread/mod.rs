//! `sapphirequay experiment spread`: how fast and at what cost the
//! configuration and the directory reach the daemons.
//!
//! The machines and codecs are those of the daemon; time and the network's
//! delay are virtual, so the same seed prints the same bytes.

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
    #[options(no_short, help = "accounts in the document", default = "360")]
    accounts: u32,
    #[options(no_short, help = "changes that are made", default = "20")]
    changes: u32,
    #[options(no_short, help = "sidecars that announce themselves", default = "600")]
    sidecars: u32,
    #[options(help = "print JSON")]
    json: bool,
}

/// Runs both parts and prints their tables.
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

/// A span in whole milliseconds.
fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Bytes of a message with the length in front of its frame.
fn frame_bytes(message: &impl serde::Serialize) -> Result<u64, postcard::Error> {
    const HEAD_BYTES: u64 = 4;
    let body = postcard::to_stdvec(message)?.len();
    Ok(body as u64 + HEAD_BYTES)
}
