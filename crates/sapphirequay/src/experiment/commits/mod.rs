//! `sapphirequay experiment commits`: commits, elections and recovery, measured
//! with real files and sockets.

mod cluster;
mod measure;
mod records;

use {
    gumdrop::Options,
    measure::{Load, measure_elections, measure_load, measure_recovery, measure_syncs},
    serde_json::{Value, json},
    std::{
        error::Error,
        fs,
        path::{Path, PathBuf},
        process,
        time::Duration,
    },
};

/// Concurrent programs of a load.
const PROGRAMS: [usize; 3] = [1, 16, 256];

/// Groups that a load is spread over.
const GROUPS: [u16; 2] = [1, 4];

/// Programs in the log of a recovery.
const RECOVERIES: [u64; 4] = [10_000, 40_000, 80_000, 160_000];

/// Arguments of `experiment commits`.
#[derive(Debug, Options)]
pub struct CommitsArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "folder on the disk to measure; its content goes", meta = "DIR")]
    dir: Option<PathBuf>,
    #[options(help = "seconds a load", default = "3")]
    seconds: u64,
    #[options(help = "bytes of a record", default = "512")]
    record_bytes: usize,
    #[options(help = "elections to measure", default = "5")]
    elections: u32,
    #[options(help = "print JSON instead of lines")]
    json: bool,
}

/// Runs every measurement and prints it.
pub fn run(args: &CommitsArgs) -> Result<(), Box<dyn Error>> {
    let dir = match &args.dir {
        Some(dir) => dir.join("commits-experiment"),
        None => std::env::temp_dir().join(format!("sapphirequay-commits-{}", process::id())),
    };
    fs::create_dir_all(&dir)?;
    let done = measure(args, &dir);
    fs::remove_dir_all(&dir)?;
    let report = done?;
    if args.json {
        println!("{report:#}");
    }
    Ok(())
}

/// Prints a line of the report, unless JSON is asked for.
fn tell(args: &CommitsArgs, what: &str, value: &Value) {
    if !args.json {
        println!("{what} {value}");
    }
}

/// Runs every measurement.
fn measure(args: &CommitsArgs, dir: &Path) -> Result<Value, Box<dyn Error>> {
    let syncs = measure_syncs(dir, args.record_bytes)?;
    tell(args, "disk_sync", &syncs);
    let mut loads = Vec::new();
    for groups in GROUPS {
        for programs in PROGRAMS {
            for sync_each in [true, false] {
                let load = Load {
                    groups,
                    programs,
                    sync_each,
                    span: Duration::from_secs(args.seconds),
                    record_bytes: args.record_bytes,
                };
                let measured = measure_load(dir, load)?;
                tell(args, "load", &measured);
                loads.push(measured);
            }
        }
    }
    let elections = measure_elections(dir, args.elections, args.record_bytes)?;
    tell(args, "elections", &elections);
    let mut recoveries = Vec::new();
    for programs in RECOVERIES {
        let measured = measure_recovery(dir, programs, args.record_bytes)?;
        tell(args, "recovery", &measured);
        recoveries.push(measured);
    }
    Ok(json!({
        "disk_sync": syncs, "loads": loads, "elections": elections, "recoveries": recoveries,
    }))
}
