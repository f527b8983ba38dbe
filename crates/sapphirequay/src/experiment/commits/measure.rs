//! Measurements of syncs, commits, elections and recovery.

use {
    super::{
        cluster::{Cluster, commit_record, folder_bytes},
        records::SetRecord,
    },
    hdrhistogram::Histogram,
    quay_log::{DiskFolder, Folder as _, LogFile as _},
    sapphirequayd::{GroupLimits, GroupMsg},
    serde_json::{Value, json},
    std::{
        error::Error,
        fs,
        path::Path,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Number of writes with sync per thread in the disk measurement.
const SYNCS: u32 = 500;

/// Number of threads that write the log before a recovery.
const WRITERS: u64 = 64;

/// Parameters of a commit load.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Number of hosts, each with a replica of every group.
    pub hosts: u64,
    /// Number of groups that the programs are distributed over.
    pub groups: u16,
    /// Number of programs that concurrently commit one record after another.
    pub programs: usize,
    /// Whether each commit is synced separately, as a baseline for batching.
    pub sync_each: bool,
    /// Duration of the measurement.
    pub span: Duration,
    /// Size of a record in bytes.
    pub record_bytes: usize,
}

/// Converts a duration to microseconds.
fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Creates a histogram for microseconds with three significant digits.
fn histogram() -> Result<Histogram<u64>, Box<dyn Error>> {
    Ok(Histogram::new(3)?)
}

/// Quantile in milliseconds of a histogram of microseconds.
#[allow(clippy::cast_precision_loss)] // Times are far below 2^52 microseconds.
fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

/// Ratio of two counts, rounded to one decimal place.
#[allow(clippy::cast_precision_loss)] // Counts are far below 2^52.
fn ratio(count: u64, of: u64) -> f64 {
    (count as f64 / of.max(1) as f64 * 10.0).round() / 10.0
}

/// Measures a write of one record with its sync, by `files` concurrent threads
/// with a file each.
pub fn measure_syncs(
    dir: &Path,
    files: usize,
    record_bytes: usize,
) -> Result<Value, Box<dyn Error>> {
    let folder = DiskFolder::create(dir)?;
    let threads: Vec<_> = (0..files)
        .map(|number| {
            let folder = folder.clone();
            thread::spawn(move || time_syncs(&folder, number, record_bytes))
        })
        .collect();
    let mut times = histogram()?;
    for thread in threads {
        times.add(&thread.join().map_err(|_| "a measuring thread panicked")??)?;
    }
    Ok(json!({
        "files_at_once": files,
        "syncs": SYNCS,
        "p50_ms": quantile_ms(&times, 0.5),
        "p99_ms": quantile_ms(&times, 0.99),
    }))
}

/// Writes and syncs a record `SYNCS` times; returns the durations.
fn time_syncs(
    folder: &DiskFolder,
    number: usize,
    record_bytes: usize,
) -> Result<Histogram<u64>, String> {
    let to_text = |err: &dyn std::fmt::Display| err.to_string();
    let name = format!("sync-test-{number}");
    let mut file = folder.create(&name).map_err(|err| to_text(&err))?;
    let record = vec![1; record_bytes];
    let mut times = Histogram::new(3).map_err(|err| to_text(&err))?;
    for _ in 0..SYNCS {
        let started = Instant::now();
        file.write(&record).map_err(|err| to_text(&err))?;
        file.sync().map_err(|err| to_text(&err))?;
        times
            .record(micros(started.elapsed()))
            .map_err(|err| to_text(&err))?;
    }
    folder.remove(&name).map_err(|err| to_text(&err))?;
    Ok(times)
}

/// Limits of the measured groups.
fn limits(sync_each: bool) -> GroupLimits {
    GroupLimits {
        sync_each,
        ..GroupLimits::default()
    }
}

/// Measures commits of concurrent programs.
pub fn measure_load(dir: &Path, load: Load) -> Result<Value, Box<dyn Error>> {
    let dir = dir.join("load");
    let cluster = Arc::new(Cluster::start(
        &dir,
        load.hosts,
        load.groups,
        limits(load.sync_each),
    )?);
    for group in 0..usize::from(load.groups) {
        commit_record(cluster.group(group), 0, &record(0, load.record_bytes))?;
    }
    let (disk, wire) = (folder_bytes(&dir)?, cluster.sent_bytes());
    let cpu = cpu_micros()?;
    let stop = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..load.programs)
        .map(|program| {
            let (cluster, stop) = (Arc::clone(&cluster), Arc::clone(&stop));
            thread::spawn(move || commit_until(&cluster, program, load.record_bytes, &stop))
        })
        .collect();
    let started = Instant::now();
    thread::sleep(load.span);
    stop.store(true, Ordering::Relaxed);
    let mut times = histogram()?;
    for thread in threads {
        let thread_times = thread.join().map_err(|_| "a program's thread panicked")??;
        times.add(&thread_times)?;
    }
    let span = started.elapsed();
    let commits = times.len();
    let disk = folder_bytes(&dir)?.saturating_sub(disk);
    let wire = cluster.sent_bytes() - wire;
    let cpu = cpu_micros()?.saturating_sub(cpu);
    cluster.stop();
    fs::remove_dir_all(&dir)?;
    Ok(json!({
        "hosts": load.hosts,
        "groups": load.groups,
        "programs": load.programs,
        "sync": if load.sync_each { "each" } else { "batched" },
        "commits_s": ratio(commits * 1_000_000, micros(span)),
        "p50_ms": quantile_ms(&times, 0.5),
        "p99_ms": quantile_ms(&times, 0.99),
        "disk_bytes_a_commit_and_host": ratio(disk, load.hosts * commits),
        "wire_bytes_a_commit": ratio(wire, commits),
        "cpu_us_a_commit": ratio(cpu, commits),
    }))
}

/// CPU time of this process, which runs all hosts and programs, in microseconds.
fn cpu_micros() -> Result<u64, Box<dyn Error>> {
    const TICK_US: u64 = 10_000;
    let stat = fs::read_to_string("/proc/self/stat")?;
    // The process name, in parentheses, may contain spaces.
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields = after_name.split_whitespace().skip(11).take(2);
    let ticks: Result<Vec<u64>, _> = fields.map(str::parse).collect();
    Ok(ticks?.into_iter().sum::<u64>() * TICK_US)
}

/// Command that sets the record of a program to `bytes` bytes.
fn record(program: u64, bytes: usize) -> SetRecord {
    SetRecord {
        program,
        record: vec![7; bytes].into(),
    }
}

/// Commits one record after another until `stop` is set; returns the durations.
fn commit_until(
    cluster: &Cluster,
    program: usize,
    bytes: usize,
    stop: &AtomicBool,
) -> Result<Histogram<u64>, String> {
    let mut times = Histogram::new(3).map_err(|err| err.to_string())?;
    let command = record(program as u64, bytes);
    let replicas = cluster.group(program);
    let mut leader = 0;
    while !stop.load(Ordering::Relaxed) {
        let started = Instant::now();
        leader = commit_record(replicas, leader, &command)?;
        times
            .record(micros(started.elapsed()))
            .map_err(|err| err.to_string())?;
    }
    Ok(times)
}

/// Measures the time from stopping a leader to the next commit.
pub fn measure_elections(
    dir: &Path,
    count: u32,
    record_bytes: usize,
) -> Result<Value, Box<dyn Error>> {
    let mut times = histogram()?;
    for _ in 0..count {
        let dir = dir.join("election");
        let cluster = Cluster::start(&dir, 3, 1, limits(false))?;
        let replicas = cluster.group(0);
        let leader = commit_record(replicas, 0, &record(0, record_bytes))?;
        replicas[leader].send(GroupMsg::Stop);
        let started = Instant::now();
        commit_record(replicas, (leader + 1) % 3, &record(1, record_bytes))?;
        times.record(micros(started.elapsed()))?;
        cluster.stop();
        fs::remove_dir_all(&dir)?;
    }
    Ok(json!({
        "count": count,
        "p50_ms": quantile_ms(&times, 0.5),
        "max_ms": quantile_ms(&times, 1.0),
    }))
}

/// Measures the time from the start of a host to its first commit, with a log
/// that holds records of `programs` programs.
pub fn measure_recovery(
    dir: &Path,
    programs: u64,
    record_bytes: usize,
) -> Result<Value, Box<dyn Error>> {
    let dir = dir.join("recovery");
    // Snapshots are disabled, so that recovery reads and applies the whole log.
    let limits = GroupLimits {
        snapshot_bytes: usize::MAX,
        snapshot_entries: u64::MAX,
        ..GroupLimits::default()
    };
    let cluster = Arc::new(Cluster::start(&dir, 1, 1, limits)?);
    let threads: Vec<_> = (0..WRITERS)
        .map(|writer| {
            let cluster = Arc::clone(&cluster);
            thread::spawn(move || {
                let own = (0..programs).filter(|program| program % WRITERS == writer);
                for program in own {
                    commit_record(cluster.group(0), 0, &record(program, record_bytes))?;
                }
                Ok::<(), String>(())
            })
        })
        .collect();
    for thread in threads {
        thread.join().map_err(|_| "a writer thread panicked")??;
    }
    cluster.stop();
    drop(cluster);
    let bytes = folder_bytes(&dir)?;
    let started = Instant::now();
    let cluster = Cluster::start(&dir, 1, 1, limits)?;
    let opened = started.elapsed();
    commit_record(cluster.group(0), 0, &record(0, record_bytes))?;
    let served = started.elapsed();
    cluster.stop();
    fs::remove_dir_all(&dir)?;
    Ok(json!({
        "programs": programs,
        "log_bytes": bytes,
        "opened_ms": micros(opened) / 1_000,
        "served_ms": micros(served) / 1_000,
    }))
}
