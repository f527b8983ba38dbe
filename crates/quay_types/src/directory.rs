//! Messages that announce upstreams and distribute the directory to daemons.

use {
    crate::{Incarnation, ModelId, ServiceId, SoftwareVersion, UpstreamId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Kind of an upstream, with the models or the service it serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamKind {
    /// Inference engine.
    Engine {
        /// Loaded models.
        models: Box<[ModelId]>,
    },
    /// Plain service.
    Service {
        /// Service that the upstream provides.
        service: ServiceId,
    },
    /// Plain service whose upstreams tell the version of their software.
    VersionedService {
        /// Service that the upstream provides.
        service: ServiceId,
        /// Version of the upstream's software.
        version: SoftwareVersion,
    },
}

impl UpstreamKind {
    /// Service that the upstream provides, if it is a plain service.
    #[must_use]
    pub const fn service(&self) -> Option<ServiceId> {
        match self {
            Self::Engine { .. } => None,
            Self::Service { service } | Self::VersionedService { service, .. } => Some(*service),
        }
    }

    /// Version of the upstream's software, if it is told.
    #[must_use]
    pub const fn version(&self) -> Option<SoftwareVersion> {
        match self {
            Self::Engine { .. } | Self::Service { .. } => None,
            Self::VersionedService { version, .. } => Some(*version),
        }
    }

    /// Version for logs; `none` if it is not told.
    #[must_use]
    pub fn version_label(&self) -> Box<str> {
        let version = self.version();
        version.map_or_else(|| "none".into(), |it| it.to_string().into())
    }

    /// The same without the version.
    #[must_use]
    pub fn without_version(self) -> Self {
        match self {
            Self::VersionedService { service, .. } => Self::Service { service },
            other => other,
        }
    }
}

/// Whether an upstream accepts new calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamState {
    /// Accepts new calls.
    #[default]
    Serving,
    /// Finishes its accepted calls and rejects new ones.
    Draining,
    /// The sidecar is alive, but requests to the upstream fail or time out.
    Failing,
}

/// Load of an upstream as reported by its sidecar.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Calls in the sidecar's queue.
    pub queued: u32,
    /// Calls running on the upstream.
    pub running: u32,
    /// Prompt tokens not yet prefilled, of queued and running calls.
    pub backlog: u64,
    /// KV cache memory in use, in thousandths.
    pub kv_permille: u16,
    /// Recent inter-token latency, in microseconds.
    pub token_gap_us: u32,
    /// Age in milliseconds of the engine's load figures when the sidecar made
    /// this report.
    pub age_ms: u32,
}

/// State of an upstream, announced by its sidecar with each heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the upstream.
    pub name: Box<str>,
    /// Incarnation of the sidecar.
    pub incarnation: Incarnation,
    /// Increases with each announcement of one incarnation.
    pub sequence: u64,
    /// Address at which entries reach the sidecar.
    pub addr: SocketAddr,
    /// Data centre in which the upstream runs.
    pub data_centre: Box<str>,
    /// Kind of the upstream and what it serves.
    pub kind: UpstreamKind,
    /// Whether the upstream accepts new calls.
    pub state: UpstreamState,
    /// Load of the upstream.
    pub load: Load,
}

impl Announcement {
    /// Id of the announced upstream.
    #[must_use]
    pub fn upstream(&self) -> UpstreamId {
        UpstreamId::of(&self.name)
    }
}

/// Entry of the directory of upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// Latest announcement of the upstream.
    pub announcement: Announcement,
    /// Age of the announcement when the entry was sent, in milliseconds.
    pub age_ms: u32,
}
