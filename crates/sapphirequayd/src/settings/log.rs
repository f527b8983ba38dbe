//! Settings of logging.

use {serde::Deserialize, std::path::PathBuf};

/// Settings of logging.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: LogLevel,
    /// File to append to; `None` writes to standard output.
    pub file: Option<PathBuf>,
    /// Maximum number of lines of one event per second; further lines are
    /// dropped and counted.
    pub lines_per_event_s: u32,
    /// Maximum number of lines queued for a slow output; further lines are
    /// dropped and counted.
    pub waiting_lines: usize,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LogLevel::Info,
            file: None,
            // Twice the number of requests that a front of the deployments'
            // tables serves in a burst.
            lines_per_event_s: 500,
            // A few seconds of such lines, and at most 2 MB.
            waiting_lines: 8_192,
        }
    }
}

/// Severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Data was lost, or a function is unavailable.
    Error,
    /// A failure that the process recovers from.
    Warn,
    /// One line for each request and each change of state.
    Info,
    /// Details for development.
    Debug,
}
