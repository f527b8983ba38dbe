//! `sapphirequay experiment commits`: measures commits, elections and recovery
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

/// Numbers of concurrent programs to measure.
const PROGRAMS: [usize; 3] = [1, 16, 256];

/// Numbers of groups to distribute the programs over.
const GROUPS: [u16; 2] = [1, 4];

/// Numbers of programs in the log for the recovery measurements.
const RECOVERIES: [u64; 4] = [10_000, 40_000, 80_000, 160_000];

/// Arguments of `experiment commits`.
#[derive(Debug, Options)]
pub struct CommitsArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "folder on the disk to measure; its subfolder commits-experiment is erased",
        meta = "DIR"
    )]
    dir: Option<PathBuf>,
    #[options(help = "duration of each load in seconds", default = "3")]
    seconds: u64,
    #[options(help = "size of a record in bytes", default = "512")]
    record_bytes: usize,
    #[options(help = "number of elections to measure", default = "5")]
    elections: u32,
    #[options(
        help = "measure only syncs and loads with this number of programs",
        meta = "N"
    )]
    programs: Option<usize>,
    #[options(help = "print JSON instead of lines")]
    json: bool,
}

/// Runs the measurements in a scratch folder and prints the results.
pub fn run(args: &CommitsArgs) -> Result<(), Box<dyn Error>> {
    let dir = match &args.dir {
        Some(dir) => dir.join("commits-experiment"),
        None => std::env::temp_dir().join(format!("sapphirequay-commits-{}", process::id())),
    };
    // Data left by an interrupted run would be recovered as the new groups' log.
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

/// Prints one result as a line, unless JSON output is selected.
fn print_result(args: &CommitsArgs, name: &str, value: &Value) {
    if !args.json {
        println!("{name} {value}");
    }
}

/// Loads to measure: three hosts with a sync per commit and with batched syncs,
/// then a single host.
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
    // Cost of a commit without replication.
    loads.extend(PROGRAMS.map(|programs| load(1, 1, programs, false)));
    loads.retain(|load| args.programs.is_none_or(|only| only == load.programs));
    loads
}

/// Runs the measurements and returns the report.
fn measure(args: &CommitsArgs, dir: &Path) -> Result<Value, Box<dyn Error>> {
    let mut syncs = Vec::new();
    // Three concurrent files match three replicas that share one disk.
    for files in [1, 3] {
        let measured = measure_syncs(dir, files, args.record_bytes)?;
        print_result(args, "disk_sync", &measured);
        syncs.push(measured);
    }
    let mut measured_loads = Vec::new();
    for load in loads(args) {
        let measured = measure_load(dir, load)?;
        print_result(args, "load", &measured);
        measured_loads.push(measured);
    }
    if args.programs.is_some() {
        return Ok(json!({ "disk_sync": syncs, "loads": measured_loads }));
    }
    let elections = measure_elections(dir, args.elections, args.record_bytes)?;
    print_result(args, "elections", &elections);
    let mut recoveries = Vec::new();
    for programs in RECOVERIES {
        let measured = measure_recovery(dir, programs, args.record_bytes)?;
        print_result(args, "recovery", &measured);
        recoveries.push(measured);
    }
    Ok(json!({
        "disk_sync": syncs, "loads": measured_loads, "elections": elections, "recoveries": recoveries,
    }))
}
