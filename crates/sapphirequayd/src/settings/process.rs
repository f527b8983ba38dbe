//! Settings of the process itself.

use {
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
};

/// Settings of the process itself.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProcessSettings {
    /// Name of the process in logs and audit records.
    pub name: Box<str>,
    /// Data centre of the host.
    pub data_centre: Box<str>,
    /// Maximum time to wait for requests in progress at shutdown, in seconds.
    pub grace_s: u64,
    /// TCP listen address of `/metrics` and `/healthz`, in addition to those
    /// that an entry serves to callers.
    pub monitor: Option<SocketAddr>,
}

impl Default for ProcessSettings {
    fn default() -> Self {
        Self {
            name: Box::default(),
            data_centre: Box::default(),
            grace_s: 60,
            monitor: None,
        }
    }
}

impl ProcessSettings {
    /// [`Self::grace_s`] as a duration.
    #[must_use]
    pub const fn grace(&self) -> Duration {
        Duration::from_secs(self.grace_s)
    }
}
