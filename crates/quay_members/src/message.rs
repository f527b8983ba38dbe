//! Messages between sidecars, hosts that keep the directory and readers.

use {
    quay_types::{Announcement, Incarnation, Load, UpstreamId, UpstreamState},
    serde::{Deserialize, Serialize},
};

/// Place of a line in the directory of one host's run; two bytes on the wire
/// where the upstream's key would take eight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Slot(pub u16);

/// A sidecar's short heartbeat, once the host knows its announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Run of the sidecar.
    pub incarnation: Incarnation,
    /// Rises with each heartbeat or announcement of one incarnation.
    pub sequence: u64,
    /// Last sequence that this host is known to have heard.
    pub acked: u64,
    /// Whether the upstream takes new work.
    pub state: UpstreamState,
    /// Its load.
    pub load: Load,
}

/// A reader's word that requests to a listed upstream fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureReport {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Run of its sidecar.
    pub incarnation: Incarnation,
}

/// Asks for what changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesRequest {
    /// Identity of the reader, for failure reports.
    pub reader: u64,
    /// Run of the host that the versions are of; 0 if none was read.
    pub run: u64,
    /// Version up to which the reader holds announcements.
    pub announced: u64,
    /// Version up to which it holds the loads of the lines that it knows.
    pub version: u64,
    /// Upstreams that did not answer the reader's requests since its last read.
    pub failure_reports: Box<[FailureReport]>,
}

/// First message on a stream to a host that keeps the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembersRequest {
    /// Everything about an upstream.
    Announce(Box<Announcement>),
    /// What changes often.
    Heartbeat(Heartbeat),
    /// A reader's question.
    Changes(ChangesRequest),
}

/// A line in full.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FullEntry {
    /// Its place.
    pub slot: Slot,
    /// The announcement; its load is sent as a [`CompactLoad`].
    pub announcement: Announcement,
    /// State and load.
    pub load: CompactLoad,
}

/// State and load of a line in few bytes.
///
/// Numbers are rounded: routing does not tell 7,000 prompt tokens from 7,100.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompactLoad {
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Calls queued.
    pub queued: u16,
    /// Calls running.
    pub running: u16,
    /// Prompt tokens to prefill, in units of [`CompactLoad::BACKLOG_UNIT`].
    pub backlog: u16,
    /// KV memory in use, in units of [`CompactLoad::KV_UNIT`].
    pub kv: u8,
    /// Time between tokens, in units of [`CompactLoad::GAP_UNIT`].
    pub gap: u16,
    /// Age of the load when it was sent, in units of [`CompactLoad::AGE_UNIT`].
    pub age: u8,
}

impl CompactLoad {
    /// Prompt tokens.
    pub const BACKLOG_UNIT: u64 = 256;
    /// Thousandths of the KV memory.
    pub const KV_UNIT: u16 = 8;
    /// Microseconds.
    pub const GAP_UNIT: u32 = 500;
    /// Milliseconds.
    pub const AGE_UNIT: u32 = 32;

    /// Rounds a load.
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

    /// Whether readers would see a difference; age does not count.
    #[must_use]
    pub fn same_load(&self, other: &Self) -> bool {
        let aged = Self {
            age: self.age,
            ..*other
        };
        *self == aged
    }

    /// The load again, as far as the rounding kept it.
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

/// The largest number of two bytes where a number has more.
fn saturate16(number: u64) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}

/// The largest number of one byte where a number has more.
fn saturate8(number: u32) -> u8 {
    u8::try_from(number).unwrap_or(u8::MAX)
}

/// What changed since a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Run of the host that answers.
    pub run: u64,
    /// Version up to which the reader holds announcements afterwards.
    pub announced: u64,
    /// Version up to which it holds loads afterwards.
    pub version: u64,
    /// Whether the reader must forget what it held.
    pub reset: bool,
    /// Whether there is more to read.
    pub more: bool,
    /// Whether every live sidecar has had time to announce itself to this run.
    pub complete: bool,
    /// New lines, and lines whose announcement changed.
    pub full: Box<[FullEntry]>,
    /// Lines whose state or load changed.
    pub loads: Box<[(Slot, CompactLoad)]>,
    /// Lines that are no more; they come before any line of the same slot.
    pub removed: Box<[Slot]>,
}

/// Answer to a [`MembersRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembersReply {
    /// The announcement or heartbeat with this sequence was heard.
    Acknowledged(u64),
    /// The host does not know the upstream: announce it in full.
    Unknown,
    /// A later run of the sidecar is known.
    Superseded,
    /// The directory is full.
    Full,
    /// Answer to `Changes`.
    Changes(Changes),
}
