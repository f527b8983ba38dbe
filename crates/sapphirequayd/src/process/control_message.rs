//! Requests to the control group on the ledger hosts, and their replies.

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

/// An operator's request to change the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorCommand {
    /// Identifies the command when it is resent.
    pub id: ChangeId,
    /// Reason given by the operator.
    pub cause: Box<str>,
    /// Change to make.
    pub action: Action,
    /// Check whether the command would be accepted, without executing it.
    pub dry_run: bool,
}

/// A request to a host of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// A daemon polls for the configuration in force and reports the one that it
    /// holds.
    Poll {
        /// Name of the daemon.
        daemon: Box<str>,
        /// Configuration that the daemon holds.
        poll: Poll,
    },
    /// A daemon requests that content be quarantined until a given time.
    Quarantine {
        /// Identifies the change when it is resent.
        id: ChangeId,
        /// Digest of the content.
        digest: ContentDigest,
        /// End of the quarantine, in milliseconds since the Unix epoch.
        until_ms: u64,
        /// Reason for the quarantine.
        cause: Box<str>,
    },
    /// An operator's command.
    Command(Box<OperatorCommand>),
    /// Reads the whole configuration in force.
    Image,
    /// Reads the index in force and the index that each daemon holds.
    Status,
    /// Reads records of the audit trail.
    Audit {
        /// Sequence number after which the records begin.
        after: u64,
        /// Maximum number of records.
        limit: u32,
    },
    /// Reads the upstream directory of the host that serves the request.
    Members,
}

/// Last poll of a daemon, as recorded by one ledger host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonRow {
    /// Name of the daemon.
    pub name: Box<str>,
    /// Configuration index in force at the daemon.
    pub index: ConfigIndex,
    /// Time since the poll, in milliseconds.
    pub age_ms: u64,
}

/// Reply to [`ControlRequest::Status`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// Configuration index in force.
    pub index: ConfigIndex,
    /// Summary of each section of the configuration.
    pub sections: Box<[SectionSummary]>,
    /// Sequence number of the last audit record.
    pub audit: u64,
    /// Daemons that have polled this host.
    pub daemons: Box<[DaemonRow]>,
}

impl ControlStatus {
    /// Combines the status of the group with the polls recorded by the host.
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

/// Status of one upstream, as shown to an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Name of the upstream.
    pub name: Box<str>,
    /// Incarnation of its sidecar; changes with each restart.
    pub incarnation: Incarnation,
    /// Address of its sidecar.
    pub addr: SocketAddr,
    /// Data centre of the upstream.
    pub data_centre: Box<str>,
    /// State reported to readers of the directory.
    pub state: UpstreamState,
    /// Reason why the upstream is suspected to have failed.
    pub suspicion: Option<Box<str>>,
    /// Load announced last.
    pub load: Load,
    /// Time since the last announcement or heartbeat, in milliseconds.
    pub age_ms: u64,
}

impl From<MemberStatus> for MemberRow {
    fn from(status: MemberStatus) -> Self {
        let announcement = status.announcement;
        let suspicion = status.suspicion.map(|why| match why {
            Suspicion::Silent => "missed heartbeats",
            Suspicion::OneWay => "does not hear answers",
            Suspicion::FailureReports => "requests fail",
        });
        Self {
            name: announcement.name,
            incarnation: announcement.incarnation,
            addr: announcement.addr,
            data_centre: announcement.data_centre,
            state: status.state,
            suspicion: suspicion.map(Into::into),
            load: announcement.load,
            age_ms: status.age_ms,
        }
    }
}

/// Reply to a [`ControlRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlReply {
    /// Reply to `Poll`, confirmed by a quorum.
    Update(Update),
    /// Reply to `Command` and `Quarantine`.
    Command(ConfigReply),
    /// Reply to `Image`.
    Image(Box<Image>),
    /// Reply to `Status`.
    Status(ControlStatus),
    /// Reply to `Audit`.
    Audit(Box<[AuditRecord]>),
    /// Reply to `Members`.
    Members(Box<[MemberRow]>),
    /// Another host is the leader; holds its address, if known.
    Redirect(Option<SocketAddr>),
    /// The group has no quorum; the request was not executed.
    NoQuorum,
    /// The request may have been executed; resend it with the same id.
    Unknown,
}
