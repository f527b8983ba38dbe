//! Target size for capacity planning.

use serde::Serialize;

/// Expected size of the system in two years, and the resource limits of the
/// control traffic.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Target {
    /// Number of daemons that run in front of the upstreams.
    pub daemons: f64,
    /// Number of upstreams.
    pub workers: f64,
    /// Peak number of requests per second.
    pub requests_per_s: f64,
    /// Peak number of generated tokens per second.
    pub tokens_per_s: f64,
    /// Number of concurrent programs.
    pub programs: f64,
    /// Number of turns in a long program.
    pub turns: f64,
    /// Number of tokens in a long history.
    pub history_tokens: f64,
    /// Number of accounts.
    pub accounts: f64,
    /// Number of configuration changes per day.
    pub changes_per_day: f64,
    /// Number of hosts dedicated to the control plane.
    pub control_hosts: f64,
    /// Number of replicas of a group.
    pub replicas: f64,
    /// Bytes of text per token.
    pub bytes_per_token: f64,
    /// Share of a CPU core that control tasks may use in a daemon.
    pub core_share: f64,
    /// Memory that control data may use in a daemon, in bytes.
    pub memory: f64,
    /// Control traffic that a daemon may cause, in bytes per second.
    pub bytes_per_s: f64,
}

impl Default for Target {
    fn default() -> Self {
        Self {
            daemons: 330.0,
            workers: 600.0,
            requests_per_s: 11_000.0,
            tokens_per_s: 2_200_000.0,
            programs: 160_000.0,
            turns: 62.0,
            history_tokens: 220_000.0,
            accounts: 3_600.0,
            changes_per_day: 230.0,
            control_hosts: 7.0,
            replicas: 3.0,
            bytes_per_token: 4.0,
            core_share: 0.022,
            memory: 64e6,
            bytes_per_s: 21_000.0,
        }
    }
}
