//! CPU time and memory of processes, read from `/proc`.

use {
    serde_json::{Value, json},
    std::{error::Error, fs},
};

/// Clock ticks per second in which `/proc/PID/stat` counts CPU time (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;

/// Index of `utime` among the fields of `/proc/PID/stat` that follow the
/// process name.
const UTIME_INDEX: usize = 11;

/// Processes whose resource usage is sampled, as pairs of name and pid.
pub struct WatchedProcesses(Vec<(String, u32)>);

impl WatchedProcesses {
    /// Parses arguments of the form `NAME=PID`.
    pub fn parse(args: &[String]) -> Result<Self, Box<dyn Error>> {
        let mut processes = Vec::new();
        for arg in args {
            let (name, pid) = arg
                .split_once('=')
                .ok_or("--watch must have the form NAME=PID")?;
            processes.push((name.to_owned(), pid.parse()?));
        }
        Ok(Self(processes))
    }

    /// CPU time of each process in seconds.
    pub fn cpu(&self) -> Vec<f64> {
        self.0.iter().map(|(_, pid)| cpu(*pid)).collect()
    }

    /// Resident memory of each process in KiB.
    pub fn memory(&self) -> Vec<u64> {
        self.0.iter().map(|(_, pid)| memory(*pid)).collect()
    }

    /// Reports the CPU time of each process per token and its memory growth per
    /// stream. `before` and `after` are CPU times in seconds, `idle` and `most`
    /// the idle and peak memory in KiB.
    #[allow(clippy::cast_precision_loss)] // Counts stay far below 2^52.
    pub fn json(
        &self,
        before: &[f64],
        after: &[f64],
        idle: &[u64],
        most: &[u64],
        tokens: u64,
        streams: usize,
    ) -> Value {
        let rows = self.0.iter().enumerate().map(|(position, (name, _))| {
            let spent = after[position] - before[position];
            let growth = most[position].saturating_sub(idle[position]);
            json!({
                "name": name,
                "cpu_s": spent,
                "cpu_us_a_token": spent * 1e6 / (tokens.max(1) as f64),
                "idle_kib": idle[position], "most_kib": most[position],
                "kib_a_stream": growth as f64 / streams as f64,
            })
        });
        rows.collect()
    }
}

/// User and system CPU time of a process in seconds; 0 if it cannot be read.
fn cpu(pid: u32) -> f64 {
    let line = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = line.rsplit(')').next().unwrap_or_default();
    let fields = after_name.split_whitespace().skip(UTIME_INDEX).take(2);
    let ticks: f64 = fields.filter_map(|field| field.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_SECOND
}

/// Resident memory of a process in KiB; 0 if it cannot be read.
fn memory(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse().ok()).unwrap_or_default()
}
