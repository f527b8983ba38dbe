//! The size to design for.

use serde::Serialize;

/// Numbers of the system two years from now.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Target {
    /// Daemons before the upstreams.
    pub daemons: f64,
    /// Upstreams.
    pub workers: f64,
    /// Requests a second at the peak.
    pub requests_per_s: f64,
    /// Tokens generated a second at the peak.
    pub tokens_per_s: f64,
    /// Programs under way.
    pub programs: f64,
    /// Turns of a long program.
    pub turns: f64,
    /// Tokens in a long history.
    pub history_tokens: f64,
    /// Accounts.
    pub accounts: f64,
    /// Changes of configuration a day.
    pub changes_per_day: f64,
    /// Hosts set aside for control.
    pub control_hosts: f64,
    /// Replicas of a group.
    pub replicas: f64,
    /// Bytes of text in a token.
    pub bytes_per_token: f64,
    /// Share of a core that control may take of a daemon.
    pub core_share: f64,
    /// Memory that control may take of a daemon, in bytes.
    pub memory: f64,
    /// Bytes a second that control may take of a daemon.
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
