//! Messages that announce upstreams and tell daemons of them.

use {
    crate::{Incarnation, ModelId, ServiceId, UpstreamId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// What an upstream serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamKind {
    /// A model engine.
    Engine {
        /// Models that are loaded.
        models: Box<[ModelId]>,
    },
    /// A plain service.
    Service {
        /// The service.
        service: ServiceId,
    },
}

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamState {
    /// Takes new work.
    #[default]
    Serving,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Its requests fail or time out although its sidecar is alive.
    Failing,
}

/// Load of an upstream as its sidecar reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Calls in the sidecar's queue.
    pub queued: u32,
    /// Calls on the upstream.
    pub running: u32,
    /// Prompt tokens still to prefill, queued or running.
    pub backlog: u64,
    /// KV memory in use, in thousandths.
    pub kv_permille: u16,
    /// Recent time between tokens, in microseconds.
    pub token_gap_us: u32,
    /// Age of the engine's own report when this one was made, in milliseconds.
    pub age_ms: u32,
}

/// What a sidecar says of its upstream, at each heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the upstream.
    pub name: Box<str>,
    /// Run of the sidecar.
    pub incarnation: Incarnation,
    /// Rises with each announcement of one incarnation.
    pub sequence: u64,
    /// Address that entries reach the sidecar at.
    pub addr: SocketAddr,
    /// Data centre that the upstream is in.
    pub data_centre: Box<str>,
    /// What it serves.
    pub kind: UpstreamKind,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Its load.
    pub load: Load,
}

impl Announcement {
    /// Key of the upstream.
    #[must_use]
    pub fn upstream(&self) -> UpstreamId {
        UpstreamId::of(&self.name)
    }
}

/// One line of the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// Latest announcement.
    pub announcement: Announcement,
    /// Age of the announcement when the line was sent, in milliseconds.
    pub age_ms: u32,
}
