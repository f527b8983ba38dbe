//! Links to other processes.

use {
    serde::Deserialize,
    std::{net::SocketAddr, path::PathBuf},
};

/// Links to other processes.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkTableSettings {
    /// UDP address that this process accepts links on.
    pub listen: SocketAddr,
    /// Folder of `root.pem`, `ROLE.pem` and `ROLE.key.pem`.
    pub keys: PathBuf,
    /// Addresses of the hosts that keep the directory and the ledger.
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
