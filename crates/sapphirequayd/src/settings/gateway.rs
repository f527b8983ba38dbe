//! Settings of a gateway's roles: fronts, control hosts and store hosts.

use {
    crate::{
        gateway::HostLimits,
        settings::{DecisionTable, Problem, memory},
    },
    quay_policy::FleetQuotaSettings,
    serde::Deserialize,
    std::{net::SocketAddr, path::PathBuf, time::Duration},
};

/// Settings shared by all roles of a gateway.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GatewaySettings {
    /// Addresses of some control hosts, from which the others are discovered.
    pub seeds: Vec<SocketAddr>,
    /// Link port of all control hosts; 0 uses the ports in `seeds`.
    pub link_port: u16,
    /// Whether the whole system starts for the first time, with empty disks.
    pub first_start: bool,
    /// Number of hosts with disks that may be lost at the same time.
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
    /// Returns the link addresses of the seeds.
    #[must_use]
    pub fn links(&self) -> Vec<SocketAddr> {
        let port = |addr: &SocketAddr| match self.link_port {
            0 => addr.port(),
            port => port,
        };
        let links = self.seeds.iter().map(|addr| (addr.ip(), port(addr)).into());
        links.collect()
    }

    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Returns the problem and its key.
    pub fn check(&self) -> Result<(), Problem> {
        if self.seeds.is_empty() {
            let message = "at least one address is required";
            return Err(Problem::new("gateway", "seeds", message));
        }
        Ok(())
    }
}

/// Settings of a front, which forwards callers' requests to upstreams.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrontSettings {
    /// TCP listen address for callers.
    pub listen: SocketAddr,
    /// TCP listen address for readiness checks: whether the host accepts
    /// callers.
    pub ready: SocketAddr,
    /// Size of the in-memory cache of stored turns, in bytes.
    #[serde(default = "chain_cache_bytes")]
    pub chain_cache_bytes: usize,
    /// Memory above which the platform kills the process, in MB (10^6 bytes); 0:
    /// unlimited. By default the memory of the machine, which bounds what callers send.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Descriptors that the process may open, of which callers' connections take half; 0:
    /// as many as the system allows it.
    #[serde(default)]
    pub max_fds: u64,
    /// Whether keys of accounts are refused once the front has been out of contact
    /// with the control group for `revoke_ms`.
    #[serde(default)]
    pub strict_revoke: bool,
    /// Time without an update from the control group after which a key may have been
    /// revoked, in milliseconds.
    #[serde(default = "revoke_ms")]
    pub revoke_ms: u64,
    /// Mechanisms that take part in the front's decisions.
    #[serde(default)]
    pub decisions: DecisionTable,
}

impl FrontSettings {
    /// What the front may take of its machine.
    #[must_use]
    pub fn limits(&self) -> HostLimits {
        memory::limits(self.memory_mb, self.max_fds)
    }

    /// Time without an update after which keys are refused; `None` if they never are.
    #[must_use]
    pub fn revoke_after(&self) -> Option<Duration> {
        let limit = Duration::from_millis(self.revoke_ms);
        self.strict_revoke.then_some(limit)
    }

    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Returns the problem and its key.
    pub fn check(&self) -> Result<(), Problem> {
        memory::check("front", self.memory_mb)?;
        self.decisions.check()
    }
}

/// Default of [`FrontSettings::revoke_ms`]: the time within which deployments want a
/// removed key to be refused.
const fn revoke_ms() -> u64 {
    5_000
}

/// Default of [`FrontSettings::chain_cache_bytes`]: an eighth of the memory of
/// the smallest front in the deployments' tables (110 MB).
const fn chain_cache_bytes() -> usize {
    14 << 20
}

/// Settings of a control host, which manages the routing table, the directory
/// of upstreams and the members of the stores.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// TCP listen address for operators and upstreams.
    pub listen: SocketAddr,
    /// Data folder, whose content must survive restarts.
    pub data: PathBuf,
    /// Memory above which the platform kills the process, in MB (10^6 bytes); 0:
    /// unlimited. By default the memory of the machine.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Descriptors that the process may open, of which callers' connections take half; 0:
    /// as many as the system allows it.
    #[serde(default)]
    pub max_fds: u64,
}

impl ControlSettings {
    /// What the control host may take of its machine.
    #[must_use]
    pub fn limits(&self) -> HostLimits {
        memory::limits(self.memory_mb, self.max_fds)
    }

    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Returns the problem and its key.
    pub fn check(&self) -> Result<(), Problem> {
        memory::check("control", self.memory_mb)
    }
}

/// Settings of a store host, which stores turns and charges.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Data folder, whose content must survive restarts.
    pub data: PathBuf,
    /// Size at which a file of the store is closed, in bytes.
    #[serde(default = "segment_bytes")]
    pub segment_bytes: u64,
    /// Memory above which the process is killed, in MB; 0 for none. By default the memory
    /// of the machine.
    #[serde(default)]
    pub memory_mb: Option<f64>,
}

impl StoreSettings {
    /// Bytes of the requests that may be served at a time, if there is a limit. Each is held
    /// twice for a while: as it arrives and decoded, or decoded and in a write to the disk.
    #[must_use]
    pub fn frame_bytes(&self) -> Option<u64> {
        memory::limits(self.memory_mb, 0)
            .budget
            .map(|budget| budget / 2)
    }

    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Returns the problem and its key.
    pub fn check(&self) -> Result<(), Problem> {
        memory::check("store", self.memory_mb)
    }
}

/// Default of [`StoreSettings::segment_bytes`]: a few seconds of turns, so that
/// files can be removed soon after their records expire.
const fn segment_bytes() -> u64 {
    8 << 20
}

/// Bounds of accounts' limits: in any window, the requests of an account exceed
/// those of its rate and burst by at most `excess` of them and `slack` more.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuotaTable {
    /// Length of the window, in seconds.
    pub window_s: f64,
    /// Part of the limit that may be exceeded.
    pub excess: f64,
    /// Number of requests that may exceed it besides.
    pub slack: u32,
}

impl Default for QuotaTable {
    fn default() -> Self {
        Self {
            window_s: 5.0,
            excess: 0.1,
            slack: 20,
        }
    }
}

impl QuotaTable {
    /// Settings of the decision.
    #[must_use]
    pub fn settings(&self) -> FleetQuotaSettings {
        let window = Duration::try_from_secs_f64(self.window_s).unwrap_or_default();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Bounded here.
        let excess = (self.excess.clamp(0.0, 1.0) * 1e3) as u32;
        FleetQuotaSettings {
            window,
            excess,
            slack: self.slack,
            ..FleetQuotaSettings::default()
        }
    }
}
