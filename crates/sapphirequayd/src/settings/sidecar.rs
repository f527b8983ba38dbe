//! The sidecar role.

use {serde::Deserialize, std::net::SocketAddr};

/// The sidecar role.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarSettings {
    /// Name of the upstream that this process stands before.
    pub upstream: Box<str>,
    /// TCP address of the upstream.
    pub addr: SocketAddr,
    /// Models that the upstream serves; empty for a plain service.
    #[serde(default)]
    pub models: Vec<Box<str>>,
    /// Service that the upstream is, if it is no model engine.
    pub service: Option<Box<str>>,
    /// Most calls on the upstream at a time.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
}

/// Default of [`SidecarSettings::concurrency`].
const fn default_concurrency() -> u32 {
    64
}
