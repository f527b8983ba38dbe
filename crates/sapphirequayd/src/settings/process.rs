//! Name and place of the process.

use {
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
};

/// Name and place of the process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProcessSettings {
    /// Name in logs and audit records.
    pub name: Box<str>,
    /// Data centre that the host is in.
    pub data_centre: Box<str>,
    /// Longest wait for requests in progress at shutdown, in seconds.
    pub grace_s: u64,
    /// TCP address of `/metrics` and `/healthz`, beside those that an entry has.
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
