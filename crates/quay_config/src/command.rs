//! What the control group is asked, and its answers.

use {
    crate::{AuditRecord, Image, Poll, Refusal, Update},
    quay_types::{ConfigIndex, ContentDigest},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Identity of a request across resends, chosen by its author.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChangeId(pub Box<str>);

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What a change was made from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionRevision {
    /// Version of the section; 0 if it did not exist.
    pub version: u64,
    /// Digest of the section's text; zero if it did not exist.
    pub digest: ContentDigest,
}

/// Who a request comes from, as their certificate says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Origin {
    /// An operator.
    Operator,
    /// One of the system's own processes.
    Process,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Set the first document of a new group.
    Bootstrap(Box<str>),
    /// Give a section a new text.
    Change {
        /// Name of the section.
        section: Box<str>,
        /// What the new text was made from.
        base: SectionRevision,
        /// The new text.
        text: Box<str>,
    },
    /// Mark an upstream to leave.
    Drain(Box<str>),
    /// Take the mark away.
    Undrain(Box<str>),
    /// Do not run content until the given time in milliseconds.
    Quarantine(ContentDigest, u64),
    /// Run content again; `None` clears the whole list.
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

/// A request to change something: the control group's command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigCommand {
    /// Identity across resends.
    pub id: ChangeId,
    /// Who asks.
    pub author: Box<str>,
    /// Their role.
    pub origin: Origin,
    /// Why, in their words.
    pub cause: Box<str>,
    /// Time that the leader read, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// What is to be done.
    pub action: Action,
}

/// A request that was carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Index in force since then.
    pub index: ConfigIndex,
    /// Version of the section; 0 for other requests.
    pub version: u64,
    /// Digest of what the request was about.
    pub digest: ContentDigest,
}

/// Answer to a [`ConfigCommand`].
pub type ConfigReply = Result<Accepted, Refusal>;

/// Asks without changing anything.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigQuery {
    /// What a subscriber misses.
    Poll(Poll),
    /// Whether an order would be carried out; leaves no trace.
    DryRun(Box<ConfigCommand>),
    /// Everything in force.
    Image,
    /// Records of the audit trail after a sequence number.
    Audit {
        /// The sequence number.
        after: u64,
        /// Most records in the answer.
        limit: u32,
    },
    /// The sections' versions and the index.
    Status,
}

/// One section in short.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionSummary {
    /// Name of the section.
    pub name: Box<str>,
    /// Its version and digest.
    pub revision: SectionRevision,
    /// Who set it.
    pub author: Box<str>,
    /// When it was set, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Who may change it.
    pub owners: Box<[Box<str>]>,
}

/// State of the store in short.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStatus {
    /// Index in force.
    pub index: ConfigIndex,
    /// The sections.
    pub sections: Box<[SectionSummary]>,
    /// Sequence of the last audit record.
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
