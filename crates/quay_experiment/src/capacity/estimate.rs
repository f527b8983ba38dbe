//! Resource estimates at the target size, extrapolated from measured slopes.

use {
    crate::capacity::{Slope, Target},
    serde::Serialize,
    std::fmt,
};

/// Interval at which a daemon polls the directory and the configuration, in
/// seconds.
const POLL_S: f64 = 1.0;

/// Number of heartbeats per second that a sidecar sends to each ledger host.
const HEARTBEATS_PER_S: f64 = 2.0;

/// Bytes that a request and its response use on a link in addition to their
/// frames: packet headers, acknowledgements and authentication tags.
const LINK_OVERHEAD_BYTES: f64 = 250.0;

/// Number of seconds in a day.
const DAY_S: f64 = 86_400.0;

/// An estimate and its limit.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// Component and quantity.
    pub name: Box<str>,
    /// Unit of the estimate and the limit.
    pub unit: Box<str>,
    /// Estimate at the target size.
    pub figure: f64,
    /// Limit set by the users, if any.
    pub limit: Option<f64>,
}

impl Row {
    fn new(name: &str, unit: &str, figure: f64, limit: Option<f64>) -> Self {
        Self {
            name: name.into(),
            unit: unit.into(),
            figure,
            limit,
        }
    }

    /// Returns the estimate as a share of the limit.
    #[must_use]
    pub fn limit_share(&self) -> Option<f64> {
        self.limit.map(|limit| self.figure / limit)
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<44} {:>14.3} {:<8}",
            self.name, self.figure, self.unit
        )?;
        match (self.limit, self.limit_share()) {
            (Some(limit), Some(share)) => {
                write!(f, " limit {limit:>12.3}  {:>6.1}%", share * 100.0)
            }
            _ => Ok(()),
        }
    }
}

/// Computes all estimates.
#[must_use]
pub fn estimate(target: &Target, slopes: &[Slope]) -> Vec<Row> {
    let at = |name: &str, size: f64| {
        let slope = slopes.iter().find(|slope| &*slope.name == name);
        slope.map_or(f64::NAN, |slope| slope.at(size))
    };
    let mut rows = daemon(target, at);
    rows.extend(ledger(target, at));
    rows.extend(histories(target));
    rows
}

/// Estimates the cost of control traffic and decisions for a daemon.
fn daemon(target: &Target, at: impl Fn(&str, f64) -> f64) -> Vec<Row> {
    let directory_bytes = (at("members.read_bytes", target.workers) + LINK_OVERHEAD_BYTES) / POLL_S;
    let config_bytes = at("config.step_bytes", target.accounts) * target.changes_per_day / DAY_S
        + LINK_OVERHEAD_BYTES / POLL_S;
    let heartbeat_bytes = (at("members.heartbeat_bytes", target.workers) + LINK_OVERHEAD_BYTES)
        * HEARTBEATS_PER_S
        * target.control_hosts;
    let apply_cpu = at("config.take_cpu", target.accounts) * target.changes_per_day / DAY_S / 1e6;
    let snapshot = at("config.snapshot_bytes", target.accounts);
    let route_cpu =
        target.requests_per_s / target.daemons * at("entry.route_cpu", target.workers) / 1e6;
    vec![
        Row::new("entry: directory, a second", "B/s", directory_bytes, None),
        Row::new("entry: configuration, a second", "B/s", config_bytes, None),
        Row::new(
            "entry: control bytes in all",
            "B/s",
            directory_bytes + config_bytes,
            Some(target.bytes_per_s),
        ),
        Row::new(
            "sidecar: control bytes in all",
            "B/s",
            heartbeat_bytes + config_bytes,
            Some(target.bytes_per_s),
        ),
        Row::new(
            "daemon: taking changes, share of a core",
            "core",
            apply_cpu,
            Some(target.core_share),
        ),
        Row::new(
            "entry: routing at the peak, share of a core",
            "core",
            route_cpu,
            Some(target.core_share),
        ),
        Row::new("daemon: first document", "B", snapshot, Some(target.memory)),
    ]
}

/// Estimates the load of the ledger hosts.
fn ledger(target: &Target, at: impl Fn(&str, f64) -> f64) -> Vec<Row> {
    let share = target.replicas / target.control_hosts;
    let programs = target.programs * share;
    let calls = target.requests_per_s * share;
    let text = (target.tokens_per_s / target.requests_per_s) * target.bytes_per_token * 2.0;
    let call_bytes = at("ledger.call_bytes", text);
    let heartbeat_cpu = at("members.heartbeats_cpu", target.workers) * HEARTBEATS_PER_S / 1e6;
    let directory_cpu = target.daemons * at("members.read_cpu", target.workers) / POLL_S / 1e6;
    vec![
        Row::new(
            "ledger: commits at the peak, all groups",
            "1/s",
            target.requests_per_s * 2.0,
            None,
        ),
        Row::new("ledger host: calls applied", "1/s", calls, None),
        Row::new(
            "ledger host: applying, share of a core",
            "core",
            calls * at("ledger.call_cpu", programs) / 1e6,
            Some(1.0),
        ),
        Row::new(
            "ledger host: log writes",
            "MB/s",
            calls * call_bytes / 1e6,
            None,
        ),
        Row::new(
            "ledger host: bytes to followers",
            "MB/s",
            target.requests_per_s / target.control_hosts * call_bytes * (target.replicas - 1.0)
                / 1e6,
            None,
        ),
        Row::new(
            "ledger host: snapshot without histories",
            "MB",
            at("ledger.program_snapshot", programs) / 1e6,
            None,
        ),
        Row::new(
            "ledger host: heartbeats, share of a core",
            "core",
            heartbeat_cpu,
            Some(1.0),
        ),
        Row::new(
            "ledger host: directory reads, share of a core",
            "core",
            directory_cpu,
            Some(1.0),
        ),
        Row::new(
            "ledger: recovery of 160,000 records",
            "ms",
            at("log.recovery", target.programs),
            Some(10_000.0),
        ),
    ]
}

/// Estimates the storage for histories.
fn histories(target: &Target) -> Vec<Row> {
    let longest = target.programs * target.history_tokens * target.bytes_per_token;
    let host = longest * target.replicas / target.control_hosts;
    vec![
        Row::new("histories: all at their longest", "GB", longest / 1e9, None),
        Row::new(
            "histories: on a ledger host, all at their longest",
            "GB",
            host / 1e9,
            None,
        ),
    ]
}
