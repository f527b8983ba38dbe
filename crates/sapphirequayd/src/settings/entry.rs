//! Settings of the entry role.

use {
    crate::{
        connection::BODY_COPIES,
        gateway::HostLimits,
        settings::{Problem, memory},
    },
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
};

/// Settings of the entry role.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntrySettings {
    /// TCP listen address for callers.
    pub listen: SocketAddr,
    /// Maximum number of requests in progress; further requests are refused as
    /// not run.
    pub max_requests: u32,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Time without received bytes after which a connection is closed while a
    /// request is being received or the connection is idle, in milliseconds.
    pub read_timeout_ms: u64,
    /// Time after which a connection is closed if the caller reads nothing, in
    /// milliseconds.
    pub send_timeout_ms: u64,
    /// Memory above which the platform kills the process, in MB (10^6 bytes); 0:
    /// unlimited. By default the memory of the machine.
    pub memory_mb: Option<f64>,
    /// Descriptors that the process may open, of which callers' connections take half; 0:
    /// as many as the system allows it.
    pub max_fds: u64,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            max_requests: 4_000,
            max_body_bytes: 16 << 20,
            read_timeout_ms: 10_000,
            send_timeout_ms: 10_000,
            memory_mb: None,
            max_fds: 0,
        }
    }
}

impl EntrySettings {
    /// [`Self::read_timeout_ms`] as a duration.
    #[must_use]
    pub const fn read_timeout(&self) -> Duration {
        Duration::from_millis(self.read_timeout_ms)
    }

    /// [`Self::send_timeout_ms`] as a duration.
    #[must_use]
    pub const fn send_timeout(&self) -> Duration {
        Duration::from_millis(self.send_timeout_ms)
    }

    /// What the entry may take of its machine.
    #[must_use]
    pub fn limits(&self) -> HostLimits {
        memory::limits(self.memory_mb, self.max_fds)
    }

    /// Checks the memory, in which a body of the largest size and its copies must fit.
    ///
    /// # Errors
    ///
    /// Returns the problem and its key.
    pub fn check_memory(&self) -> Result<(), Problem> {
        memory::check("entry", self.memory_mb)?;
        let needed = self.max_body_bytes.saturating_mul(1 + BODY_COPIES as u64);
        memory::check_holds("entry", self.memory_mb, needed, "max_body_bytes")
    }
}
