//! Where log lines go.

use {serde::Deserialize, std::path::PathBuf};

/// Where log lines go.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: LogLevel,
    /// File to append to; the console if there is none.
    pub file: Option<PathBuf>,
    /// Lines of one event in a second; further ones are counted.
    pub lines_per_event_s: u32,
    /// Lines that wait for an output that is slow; further ones are counted.
    pub waiting_lines: usize,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LogLevel::Info,
            file: None,
            // Twice what a front of the deployments' tables answers in a burst.
            lines_per_event_s: 500,
            // Some seconds of them; 2 MB at most.
            waiting_lines: 8_192,
        }
    }
}

/// Severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Something is lost or does not work.
    Error,
    /// Something failed and is dealt with.
    Warn,
    /// One line for each request and change.
    Info,
    /// Details for developers.
    Debug,
}
