//! Settings of the sidecar role.

use {
    crate::{
        connection::RESPONSE_COPIES,
        gateway::HostLimits,
        settings::{Problem, memory},
    },
    serde::Deserialize,
    std::net::SocketAddr,
};

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
    /// Bytes that an engine may send without an event that continues the response, which
    /// also bounds an event.
    #[serde(default = "default_max_event_bytes")]
    pub max_event_bytes: u64,
    /// Maximum size of a response of the upstream, in bytes.
    #[serde(default = "default_max_response_bytes")]
    pub max_response_bytes: u64,
    /// Memory above which the platform kills the process, in MB (10^6 bytes); 0:
    /// unlimited. By default the memory of the machine.
    #[serde(default)]
    pub memory_mb: Option<f64>,
}

impl SidecarSettings {
    /// Creates the settings of an upstream without models and service, with the defaults
    /// of all else.
    #[must_use]
    pub fn new(upstream: impl Into<Box<str>>, addr: SocketAddr) -> Self {
        Self {
            upstream: upstream.into(),
            addr,
            models: Vec::new(),
            service: None,
            concurrency: default_concurrency(),
            max_event_bytes: default_max_event_bytes(),
            max_response_bytes: default_max_response_bytes(),
            memory_mb: None,
        }
    }

    /// What the sidecar may take of its machine.
    #[must_use]
    pub fn limits(&self) -> HostLimits {
        memory::limits(self.memory_mb, 0)
    }

    /// Checks the memory, in which an event and a response of the largest size and their
    /// copies must fit.
    ///
    /// # Errors
    ///
    /// Returns the problem and its key.
    pub fn check_memory(&self) -> Result<(), Problem> {
        memory::check("sidecar", self.memory_mb)?;
        let largest = match self.service {
            Some(_) => (self.max_response_bytes, "max_response_bytes"),
            None => (self.max_event_bytes, "max_event_bytes"),
        };
        let needed = largest.0.saturating_mul(1 + RESPONSE_COPIES as u64);
        memory::check_holds("sidecar", self.memory_mb, needed, largest.1)
    }
}

/// Default of [`SidecarSettings::max_event_bytes`].
const fn default_max_event_bytes() -> u64 {
    1 << 20
}

/// Default of [`SidecarSettings::max_response_bytes`].
const fn default_max_response_bytes() -> u64 {
    4 << 20
}

/// Default of [`SidecarSettings::concurrency`].
const fn default_concurrency() -> u32 {
    64
}
