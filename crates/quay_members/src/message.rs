//! Messages between sidecars, hosts that keep the directory, and readers.

use {
    quay_types::{Announcement, Incarnation, Load, UpstreamId, UpstreamState},
    serde::{Deserialize, Serialize},
};

/// Position of an entry in the directory, valid within one run of a host. A
/// slot takes two bytes on the wire; the upstream's key would take eight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Slot(pub u16);

/// Heartbeat of a sidecar whose announcement the host holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Upstream that the message refers to.
    pub upstream: UpstreamId,
    /// Incarnation of the sidecar.
    pub incarnation: Incarnation,
    /// Incremented with each heartbeat or announcement of one incarnation.
    pub sequence: u64,
    /// Highest sequence for which the sidecar has received this host's reply.
    pub acked: u64,
    /// Whether the upstream accepts new work.
    pub state: UpstreamState,
    /// Load of the upstream.
    pub load: Load,
}

/// Report of a reader that requests to an upstream fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureReport {
    /// Upstream that the message refers to.
    pub upstream: UpstreamId,
    /// Incarnation of the upstream's sidecar.
    pub incarnation: Incarnation,
}

/// Request for the changes since the reader's last read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesRequest {
    /// Identifier of the reader, to count failure reports of distinct readers.
    pub reader: u64,
    /// Run of the host to which the versions belong; 0 before the first read.
    pub run: u64,
    /// Version up to which the reader holds announcements.
    pub announced: u64,
    /// Version up to which the reader holds the loads of its entries.
    pub version: u64,
    /// Upstreams that did not respond to the reader's requests since its last
    /// read.
    pub failure_reports: Box<[FailureReport]>,
}

/// First message on a stream to a host that keeps the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembersRequest {
    /// Full announcement of an upstream.
    Announce(Box<Announcement>),
    /// Heartbeat with the current state and load.
    Heartbeat(Heartbeat),
    /// Request of a reader for changes.
    Changes(ChangesRequest),
}

/// Full entry of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FullEntry {
    /// Slot of the entry.
    pub slot: Slot,
    /// Announcement of the upstream; the load is sent as a [`CompactLoad`].
    pub announcement: Announcement,
    /// State and load of the upstream.
    pub load: CompactLoad,
}

/// Compact encoding of an upstream's state and load.
///
/// Numbers are rounded: routing does not distinguish 7,000 prompt tokens from
/// 7,100.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompactLoad {
    /// Whether the upstream accepts new work.
    pub state: UpstreamState,
    /// Number of calls queued.
    pub queued: u16,
    /// Number of calls running.
    pub running: u16,
    /// Prompt tokens to prefill, in units of [`CompactLoad::BACKLOG_UNIT`].
    pub backlog: u16,
    /// KV memory in use, in units of [`CompactLoad::KV_UNIT`].
    pub kv: u8,
    /// Time between tokens, in units of [`CompactLoad::GAP_UNIT`].
    pub gap: u16,
    /// Age of the load at the time of sending, in units of
    /// [`CompactLoad::AGE_UNIT`].
    pub age: u8,
}

impl CompactLoad {
    /// Unit of `backlog`, in prompt tokens.
    pub const BACKLOG_UNIT: u64 = 256;
    /// Unit of `kv`, in thousandths of the KV memory.
    pub const KV_UNIT: u16 = 8;
    /// Unit of `gap`, in microseconds.
    pub const GAP_UNIT: u32 = 500;
    /// Unit of `age`, in milliseconds.
    pub const AGE_UNIT: u32 = 32;

    /// Encodes a state and load, rounding the load.
    #[must_use]
    pub fn of(state: UpstreamState, load: &Load) -> Self {
        Self {
            state,
            queued: saturate16(load.queued.into()),
            running: saturate16(load.running.into()),
            backlog: saturate16(load.backlog.div_ceil(Self::BACKLOG_UNIT)),
            kv: saturate8((load.kv_permille / Self::KV_UNIT).into()),
            gap: saturate16((load.token_gap_us / Self::GAP_UNIT).into()),
            age: saturate8(load.age_ms / Self::AGE_UNIT),
        }
    }

    /// Whether state and load are equal, ignoring the age.
    #[must_use]
    pub fn same_load(&self, other: &Self) -> bool {
        let aged = Self {
            age: self.age,
            ..*other
        };
        *self == aged
    }

    /// Decodes the load, with the precision that the rounding kept.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            queued: self.queued.into(),
            running: self.running.into(),
            backlog: u64::from(self.backlog) * Self::BACKLOG_UNIT,
            kv_permille: u16::from(self.kv) * Self::KV_UNIT,
            token_gap_us: u32::from(self.gap) * Self::GAP_UNIT,
            age_ms: u32::from(self.age) * Self::AGE_UNIT,
        }
    }
}

/// Converts to `u16`, saturating at the maximum.
fn saturate16(number: u64) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}

/// Converts to `u8`, saturating at the maximum.
fn saturate8(number: u32) -> u8 {
    u8::try_from(number).unwrap_or(u8::MAX)
}

/// Changes of the directory since the reader's versions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Run of the host that replies.
    pub run: u64,
    /// Version up to which the reader holds announcements after it applies the
    /// changes.
    pub announced: u64,
    /// Version up to which the reader holds loads after it applies the changes.
    pub version: u64,
    /// Whether the reader must discard its entries first.
    pub reset: bool,
    /// Whether more changes remain to be read.
    pub more: bool,
    /// Whether this run has lasted long enough for every live sidecar to
    /// announce itself.
    pub complete: bool,
    /// New entries, and entries whose announcement changed.
    pub full: Box<[FullEntry]>,
    /// Entries whose state or load changed.
    pub loads: Box<[(Slot, CompactLoad)]>,
    /// Slots of removed entries. The removals apply before the entries in
    /// `full` and `loads`.
    pub removed: Box<[Slot]>,
}

/// Reply to a [`MembersRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembersReply {
    /// The host has received the announcement or heartbeat with this sequence.
    Acknowledged(u64),
    /// The host does not hold the upstream; the sidecar must send the full
    /// announcement.
    Unknown,
    /// The host knows a later incarnation of the sidecar.
    Superseded,
    /// The directory has reached its capacity.
    Full,
    /// Reply to [`MembersRequest::Changes`].
    Changes(Changes),
}
