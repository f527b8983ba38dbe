//! What operators and upstreams ask of a control host.

use {
    quay_types::{Announcement, Incarnation},
    std::{fmt, time::Duration},
};

/// What operators and upstreams ask of a control host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorCall {
    /// An upstream announces itself. It may be draining.
    Announce(Box<Announcement>),
    /// An upstream is leaving.
    Leave {
        /// Its name.
        name: Box<str>,
        /// Its run, if it says so.
        incarnation: Option<Incarnation>,
    },
    /// Put a routing table into force, as the text that it was sent in.
    PutTable,
    /// Read the routing table in force.
    GetTable,
    /// Empty a store host within a time.
    RetireStore {
        /// Name of the host.
        host: Box<str>,
        /// Time that it should take.
        within: Duration,
    },
    /// How far a store host is emptied.
    RetireProgress {
        /// Name of the host.
        host: Box<str>,
    },
}

/// Why a call can't be taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorError {
    /// There is no such call.
    NoSuchCall,
    /// The body can't be used; says why.
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

/// What a control host answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorResponse {
    /// Done, or done before.
    Done,
    /// The table in force, as it was sent.
    Table(Box<[u8]>),
    /// Whether a store host is empty.
    Retired(bool),
    /// There is nothing by that name.
    Unknown(Box<str>),
    /// It can't be used; says why.
    Invalid(Box<str>),
    /// Too few hosts would be left.
    TooFew,
    /// This host can't be sure now; ask again.
    Unavailable,
}
