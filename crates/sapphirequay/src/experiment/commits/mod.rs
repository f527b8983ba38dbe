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
    #[options(help = "measure this many programs only, and nothing else", meta = "N")]
    programs: Option<usize>,
    #[options(help = "print JSON instead of lines")]
    json: bool,
}

/// Runs every measurement and prints it.
pub fn run(args: &CommitsArgs) -> Result<(), Box<dyn Error>> {
    let dir = match &args.dir {
        Some(dir) => dir.join("commits-experiment"),
        None => std::env::temp_dir().join(format!("sapphirequay-commits-{}", process::id())),
    };
    // What a run that was cut short has left would be taken for its group.
    if dir.exists() {
        fs::remove_dir_all(&dir)?;
    }
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

/// Every load: three hosts with one sync each and batched, then one host alone.
fn loads(args: &CommitsArgs) -> Vec<Load> {
    let load = |hosts, groups, programs, sync_each| Load {
        hosts,
        groups,
        programs,
        sync_each,
        span: Duration::from_secs(args.seconds),
        record_bytes: args.record_bytes,
    };
    let mut loads = Vec::new();
    for groups in GROUPS {
        for programs in PROGRAMS {
            loads.extend([true, false].map(|sync_each| load(3, groups, programs, sync_each)));
        }
    }
    // What a commit would cost if no other host had to hold it.
    loads.extend(PROGRAMS.map(|programs| load(1, 1, programs, false)));
    loads.retain(|load| args.programs.is_none_or(|only| only == load.programs));
    loads
}

/// Runs every measurement.
fn measure(args: &CommitsArgs, dir: &Path) -> Result<Value, Box<dyn Error>> {
    let mut syncs = Vec::new();
    // Three replicas on one disk sync at the same time.
    for files in [1, 3] {
        let measured = measure_syncs(dir, files, args.record_bytes)?;
        tell(args, "disk_sync", &measured);
        syncs.push(measured);
    }
    let mut measured_loads = Vec::new();
    for load in loads(args) {
        let measured = measure_load(dir, load)?;
        tell(args, "load", &measured);
        measured_loads.push(measured);
    }
    if args.programs.is_some() {
        return Ok(json!({ "disk_sync": syncs, "loads": measured_loads }));
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
        "disk_sync": syncs, "loads": measured_loads, "elections": elections, "recoveries": recoveries,
    }))
}
