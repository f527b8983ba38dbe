//! Messages to the hosts that keep the control group.

use {
    quay_config::{
        Action, AuditRecord, ChangeId, ConfigReply, Image, Poll, SectionSummary, StoreStatus,
        Update,
    },
    quay_members::{MemberStatus, Suspicion},
    quay_types::{ConfigIndex, ContentDigest, Incarnation, Load, UpstreamState},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// An operator's request to change something.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorCommand {
    /// Identity across resends.
    pub id: ChangeId,
    /// Why, in their words.
    pub cause: Box<str>,
    /// What is to be done.
    pub action: Action,
    /// Only tell whether it would be carried out.
    pub dry_run: bool,
}

/// A request to a host of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// A daemon asks what is in force, and says what it holds.
    Poll {
        /// Name of the daemon.
        daemon: Box<str>,
        /// What it holds.
        poll: Poll,
    },
    /// A process of the system asks to quarantine content until a time.
    Quarantine {
        /// Identity across resends.
        id: ChangeId,
        /// The content.
        digest: ContentDigest,
        /// End, in milliseconds since the Unix epoch.
        until_ms: u64,
        /// Why.
        cause: Box<str>,
    },
    /// An operator's order.
    Command(Box<OperatorCommand>),
    /// Everything in force.
    Image,
    /// What is in force, and which daemons hold it.
    Status,
    /// Records of the audit trail.
    Audit {
        /// Sequence number after which they begin.
        after: u64,
        /// Most records.
        limit: u32,
    },
    /// The directory of the host that is asked.
    Members,
}

/// What a host last heard of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonRow {
    /// Name of the daemon.
    pub name: Box<str>,
    /// Index that is in force there.
    pub index: ConfigIndex,
    /// Milliseconds since it asked.
    pub age_ms: u64,
}

/// Answer to [`ControlRequest::Status`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// What is in force.
    pub index: ConfigIndex,
    /// The sections.
    pub sections: Box<[SectionSummary]>,
    /// Sequence of the last audit record.
    pub audit: u64,
    /// Daemons that have asked this host.
    pub daemons: Box<[DaemonRow]>,
}

impl ControlStatus {
    /// Joins what the group and the host know.
    #[must_use]
    pub fn new(store: StoreStatus, daemons: Box<[DaemonRow]>) -> Self {
        Self {
            index: store.index,
            sections: store.sections,
            audit: store.audit,
            daemons,
        }
    }
}

/// One upstream, for an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Name of the upstream.
    pub name: Box<str>,
    /// Run of its sidecar.
    pub incarnation: Incarnation,
    /// Address of its sidecar.
    pub addr: SocketAddr,
    /// Data centre that it is in.
    pub data_centre: Box<str>,
    /// State as readers are told.
    pub state: UpstreamState,
    /// Why it is not trusted.
    pub suspicion: Option<Box<str>>,
    /// Its load.
    pub load: Load,
    /// Milliseconds since it was heard.
    pub age_ms: u64,
}

impl From<MemberStatus> for MemberRow {
    fn from(line: MemberStatus) -> Self {
        let announcement = line.announcement;
        let suspicion = line.suspicion.map(|why| match why {
            Suspicion::Silent => "missed heartbeats",
            Suspicion::OneWay => "does not hear answers",
            Suspicion::FailureReports => "requests fail",
        });
        Self {
            name: announcement.name,
            incarnation: announcement.incarnation,
            addr: announcement.addr,
            data_centre: announcement.data_centre,
            state: line.state,
            suspicion: suspicion.map(Into::into),
            load: announcement.load,
            age_ms: line.age_ms,
        }
    }
}

/// Answer to a [`ControlRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlReply {
    /// Answer to `Poll`, confirmed by a quorum.
    Update(Update),
    /// Answer to `Order` and `Quarantine`.
    Command(ConfigReply),
    /// Answer to `Image`.
    Image(Box<Image>),
    /// Answer to `Status`.
    Status(ControlStatus),
    /// Answer to `Audit`.
    Audit(Box<[AuditRecord]>),
    /// Answer to `Members`.
    Members(Box<[MemberRow]>),
    /// Another host leads the group; its address, if known.
    Redirect(Option<SocketAddr>),
    /// The group has no quorum; nothing happened.
    NoQuorum,
    /// The request may or may not be carried out; send it again with its id.
    Unknown,
}
