//! Processor time and memory of processes, from the system's tables.

use {
    serde_json::{Value, json},
    std::{error::Error, fs},
};

/// Ticks of processor time a second, as Linux tells them to programs.
const TICKS_A_SECOND: f64 = 100.0;

/// Position of user time in a process's line, counted after its name.
const USER_TIME_FIELD: usize = 11;

/// Processes that are looked at while a load runs.
pub struct Watched(Vec<(String, u32)>);

impl Watched {
    /// Reads arguments of the form `NAME=PID`.
    pub fn parse(args: &[String]) -> Result<Self, Box<dyn Error>> {
        let mut processes = Vec::new();
        for arg in args {
            let (name, pid) = arg.split_once('=').ok_or("--watch takes NAME=PID")?;
            processes.push((name.to_owned(), pid.parse()?));
        }
        Ok(Self(processes))
    }

    /// Processor time of each process in seconds.
    pub fn cpu(&self) -> Vec<f64> {
        self.0.iter().map(|(_, pid)| cpu(*pid)).collect()
    }

    /// Resident memory of each process in KiB.
    pub fn memory(&self) -> Vec<u64> {
        self.0.iter().map(|(_, pid)| memory(*pid)).collect()
    }

    /// What each process spent on `tokens` tokens and `streams` streams.
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
        let rows = self.0.iter().enumerate().map(|(place, (name, _))| {
            let spent = after[place] - before[place];
            let grown = most[place].saturating_sub(idle[place]);
            json!({
                "name": name,
                "cpu_s": spent,
                "cpu_us_a_token": spent * 1e6 / (tokens.max(1) as f64),
                "idle_kib": idle[place], "most_kib": most[place],
                "kib_a_stream": grown as f64 / streams as f64,
            })
        });
        rows.collect()
    }
}

/// User and system time of a process in seconds.
fn cpu(pid: u32) -> f64 {
    let line = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = line.rsplit(')').next().unwrap_or_default();
    let fields = after_name.split_whitespace().skip(USER_TIME_FIELD).take(2);
    let ticks: f64 = fields.filter_map(|field| field.parse::<f64>().ok()).sum();
    ticks / TICKS_A_SECOND
}

/// Resident memory of a process in KiB.
fn memory(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse().ok()).unwrap_or_default()
}
