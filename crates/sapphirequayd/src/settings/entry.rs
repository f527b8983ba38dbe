//! The entry role.

use {
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
};

/// The entry role.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntrySettings {
    /// TCP address for callers.
    pub listen: SocketAddr,
    /// Requests in progress at most; more are refused as not run.
    pub max_requests: u32,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// A caller that sends nothing for so long while it owes bytes, or whose
    /// connection is idle, is given up; in milliseconds.
    pub read_timeout_ms: u64,
    /// A caller that reads nothing for so long is given up, in milliseconds.
    pub send_timeout_ms: u64,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            max_requests: 4_000,
            max_body_bytes: 16 << 20,
            read_timeout_ms: 10_000,
            send_timeout_ms: 10_000,
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
}
