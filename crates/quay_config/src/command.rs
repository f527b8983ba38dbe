//! Commands and queries to the control group, and their replies.

use {
    crate::{AuditRecord, Image, Poll, Refusal, Update},
    quay_types::{ConfigIndex, ContentDigest},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Id of a request, chosen by its author and the same in every resend, which
/// makes resends idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChangeId(pub Box<str>);

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Version and digest of a section; a change names the revision it is based on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionRevision {
    /// Version of the section; 0 if the section does not exist.
    pub version: u64,
    /// Digest of the section's text; zero if the section does not exist.
    pub digest: ContentDigest,
}

/// Role of a request's author, as stated in the certificate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Origin {
    /// An operator.
    Operator,
    /// A process of the system itself.
    Process,
}

/// The requested action.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Sets the first document of a new group.
    Bootstrap(Box<str>),
    /// Replaces or creates a section.
    Change {
        /// Name of the section.
        section: Box<str>,
        /// Revision that the new text is based on.
        base: SectionRevision,
        /// New text of the section.
        text: Box<str>,
    },
    /// Marks an upstream as draining.
    Drain(Box<str>),
    /// Removes the drain mark of an upstream.
    Undrain(Box<str>),
    /// Quarantines content until the given time, in milliseconds since the Unix
    /// epoch.
    Quarantine(ContentDigest, u64),
    /// Ends the quarantine of content; `None` clears the entire list.
    ClearQuarantine(Option<ContentDigest>),
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bootstrap(_) => f.write_str("found"),
            Self::Change { section, .. } => write!(f, "change {section}"),
            Self::Drain(name) => write!(f, "drain {name}"),
            Self::Undrain(name) => write!(f, "undrain {name}"),
            Self::Quarantine(digest, _) => write!(f, "quarantine {digest}"),
            Self::ClearQuarantine(Some(digest)) => write!(f, "clear {digest}"),
            Self::ClearQuarantine(None) => f.write_str("clear all"),
        }
    }
}

/// A request to change the configuration: the command of the replicated state
/// machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigCommand {
    /// Id of the request, the same in every resend.
    pub id: ChangeId,
    /// Author of the request.
    pub author: Box<str>,
    /// Role of the author.
    pub origin: Origin,
    /// Reason given by the author.
    pub cause: Box<str>,
    /// Clock of the leader, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The requested action.
    pub action: Action,
}

/// Result of a request that was carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Configuration index after the request.
    pub index: ConfigIndex,
    /// New version of the section; 1 for the first document, 0 if no section was
    /// changed.
    pub version: u64,
    /// Digest of the state that the request set.
    pub digest: ContentDigest,
}

/// Answer to a [`ConfigCommand`].
pub type ConfigReply = Result<Accepted, Refusal>;

/// A read-only request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigQuery {
    /// Asks for the changes that a subscriber lacks.
    Poll(Poll),
    /// Asks whether a command would be carried out, without recording it.
    DryRun(Box<ConfigCommand>),
    /// Asks for the complete state in force.
    Image,
    /// Asks for the records of the audit trail after a sequence number.
    Audit {
        /// Sequence number before the first returned record.
        after: u64,
        /// Maximum number of records in the answer.
        limit: u32,
    },
    /// Asks for the index and the revisions of the sections.
    Status,
}

/// Summary of a section.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionSummary {
    /// Name of the section.
    pub name: Box<str>,
    /// Version and digest of the section.
    pub revision: SectionRevision,
    /// Author of the version in force; empty if it is from the first document.
    pub author: Box<str>,
    /// Time at which the version was set, in milliseconds since the Unix epoch;
    /// 0 if it is from the first document.
    pub time_ms: u64,
    /// Authors that may change the section.
    pub owners: Box<[Box<str>]>,
}

/// Summary of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStatus {
    /// Configuration index in force.
    pub index: ConfigIndex,
    /// Summaries of the sections.
    pub sections: Box<[SectionSummary]>,
    /// Sequence number of the last audit record.
    pub audit: u64,
}

/// Answer to a [`ConfigQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigAnswer {
    /// Answer to `Poll`.
    Update(Update),
    /// Answer to `DryRun`.
    DryRun(ConfigReply),
    /// Answer to `Image`.
    Image(Box<Image>),
    /// Answer to `Audit`.
    Audit(Box<[AuditRecord]>),
    /// Answer to `Status`.
    Status(StoreStatus),
}
