//! The roles of a gateway: fronts, control hosts and store hosts.

use {
    crate::settings::Problem,
    serde::Deserialize,
    std::{net::SocketAddr, path::PathBuf},
};

/// What every role of a gateway needs to find the others.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewaySettings {
    /// Some control hosts.
    pub seeds: Vec<SocketAddr>,
    /// Port of the links of all control hosts; 0 if `seeds` name it.
    pub link_port: u16,
    /// Whether the whole system starts for the first time, with empty disks.
    pub first_start: bool,
    /// Hosts with disks that may be lost at the same time.
    pub losses: usize,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            link_port: 0,
            first_start: false,
            losses: 1,
        }
    }
}

impl GatewaySettings {
    /// Link addresses of the seeds.
    #[must_use]
    pub fn links(&self) -> Vec<SocketAddr> {
        let port = |addr: &SocketAddr| match self.link_port {
            0 => addr.port(),
            port => port,
        };
        let links = self.seeds.iter().map(|addr| (addr.ip(), port(addr)).into());
        links.collect()
    }

    /// Checks that the settings can be used.
    ///
    /// # Errors
    ///
    /// Names the key and what is wrong with it.
    pub fn check(&self) -> Result<(), Problem> {
        if self.seeds.is_empty() {
            let message = "at least one address is needed";
            return Err(Problem::new("gateway", "seeds", message));
        }
        Ok(())
    }
}

/// A front: takes callers' requests and passes them on to upstreams.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrontSettings {
    /// TCP address for callers.
    pub listen: SocketAddr,
    /// TCP address that tells whether the host takes callers.
    pub ready: SocketAddr,
    /// Bytes of kept turns that are held in memory.
    #[serde(default = "chain_cache_bytes")]
    pub chain_cache_bytes: usize,
}

/// An eighth of the smallest front in the deployments' tables (110 MB).
const fn chain_cache_bytes() -> usize {
    14 << 20
}

/// A control host: routing table, directory of upstreams, members of the stores.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// TCP address for operators and upstreams.
    pub listen: SocketAddr,
    /// Folder of all that must survive.
    pub data: PathBuf,
}

/// A store host: kept turns and charges.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Folder of all that must survive.
    pub data: PathBuf,
    /// Bytes after which a file of the store is closed.
    #[serde(default = "segment_bytes")]
    pub segment_bytes: u64,
}

/// A few seconds of turns, so that expired files go soon.
const fn segment_bytes() -> u64 {
    8 << 20
}
