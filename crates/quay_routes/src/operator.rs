//! Administrative calls of operators and upstreams to a control host.

use {
    quay_types::{Announcement, Incarnation},
    std::{fmt, time::Duration},
};

/// Administrative calls of operators and upstreams to a control host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorCall {
    /// Announces an upstream, which may be draining.
    Announce(Box<Announcement>),
    /// Takes an upstream out of service.
    Leave {
        /// Name of the upstream.
        name: Box<str>,
        /// Incarnation of the upstream, if the call states it.
        incarnation: Option<Incarnation>,
    },
    /// Puts the routing table in the request's body into force.
    PutTable,
    /// Reads the routing table in force.
    GetTable,
    /// Retires a store host: its data moves to another host.
    RetireStore {
        /// Name of the host.
        host: Box<str>,
        /// Time within which the retirement should finish.
        within: Duration,
    },
    /// Reads the progress of a store host's retirement.
    RetireProgress {
        /// Name of the host.
        host: Box<str>,
    },
}

/// Reason for which an administrative call is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorError {
    /// No call has this method and path.
    NoSuchCall,
    /// The body is invalid, with the reason.
    Unreadable(Box<str>),
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSuchCall => f.write_str("there is no such call"),
            Self::Unreadable(why) => write!(f, "the body can't be used: {why}"),
        }
    }
}

impl std::error::Error for OperatorError {}

/// Response of a control host to an administrative call.
#[derive(Clone, PartialEq, Eq)]
pub enum OperatorResponse {
    /// The call was carried out, now or earlier.
    Done,
    /// Routing table in force, byte for byte as the operator sent it.
    Table(Box<[u8]>),
    /// Whether the retirement of a store host is complete.
    Retired(bool),
    /// No host or upstream has the given name.
    Unknown(Box<str>),
    /// The request is invalid, with the reason.
    Invalid(Box<str>),
    /// Too few store hosts would remain.
    TooFew,
    /// The control host can't determine the outcome now; the caller should
    /// retry.
    Unavailable,
}

impl fmt::Debug for OperatorResponse {
    /// Shows the length of a routing table only, as it holds keys of accounts.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Done => f.write_str("Done"),
            Self::Table(document) => write!(f, "Table({} bytes)", document.len()),
            Self::Retired(done) => write!(f, "Retired({done})"),
            Self::Unknown(name) => write!(f, "Unknown({name:?})"),
            Self::Invalid(reason) => write!(f, "Invalid({reason:?})"),
            Self::TooFew => f.write_str("TooFew"),
            Self::Unavailable => f.write_str("Unavailable"),
        }
    }
}
