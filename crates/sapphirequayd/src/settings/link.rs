//! Settings of links to other processes.

use {
    serde::Deserialize,
    std::{net::SocketAddr, path::PathBuf},
};

/// Settings of links to other processes (TOML table `[link]`).
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkTableSettings {
    /// UDP listen address for links from other processes.
    pub listen: SocketAddr,
    /// Folder with `root.pem`, `ROLE.pem` and `ROLE.key.pem`.
    pub keys: PathBuf,
    /// Link addresses of the hosts of the directory and the ledger.
    pub ledgers: Vec<SocketAddr>,
}

impl Default for LinkTableSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            keys: PathBuf::new(),
            ledgers: Vec::new(),
        }
    }
}
