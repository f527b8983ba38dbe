//! Settings of the sidecar role.

use {serde::Deserialize, std::net::SocketAddr};

/// Settings of the sidecar role.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarSettings {
    /// Name of the upstream that this sidecar serves.
    pub upstream: Box<str>,
    /// TCP address of the upstream.
    pub addr: SocketAddr,
    /// Models that the upstream serves; empty if it is not a model engine.
    #[serde(default)]
    pub models: Vec<Box<str>>,
    /// Service that the upstream provides, if it is not a model engine.
    pub service: Option<Box<str>>,
    /// Maximum number of concurrent calls on the upstream.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
}

/// Default of [`SidecarSettings::concurrency`].
const fn default_concurrency() -> u32 {
    64
}
