//! The entry role.

use {serde::Deserialize, std::net::SocketAddr};

/// The entry role.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntrySettings {
    /// TCP address for callers.
    pub listen: SocketAddr,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        }
    }
}
