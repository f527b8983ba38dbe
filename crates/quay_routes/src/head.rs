//! What a gateway must know of a request and of an upstream's answer.

use {
    crate::PromptPart,
    std::{fmt, time::Duration},
};

/// What a gateway must know of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallHead {
    /// Number that the caller gave this attempt; repeated in logs and answers.
    pub id: Box<str>,
    /// Host that the request names, without a port.
    pub host: Box<str>,
    /// Path without the query.
    pub path: Box<str>,
    /// How long the caller will wait.
    pub caller_timeout: Option<Duration>,
    /// Program that the request belongs to, if it is one of a program.
    pub program: Option<Box<str>>,
    /// What only a turn of a program has.
    pub turn: Option<TurnHead>,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
}

/// What only a turn of a program has.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TurnHead {
    /// Tokens that all turns of the program may generate.
    pub budget: Option<u64>,
    /// Most tokens that this turn may generate.
    pub max_tokens: u64,
    /// The turn that this one continues from.
    pub prior: Option<Box<str>>,
}

/// Why a request can't be taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeadError {
    /// It has no number.
    NoId,
    /// It names no host.
    NoHost,
    /// This header can't be read.
    Unreadable(&'static str),
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoId => f.write_str("the request has no id"),
            Self::NoHost => f.write_str("the request names no host"),
            Self::Unreadable(name) => write!(f, "header {name} can't be read"),
        }
    }
}

impl std::error::Error for HeadError {}

/// What an upstream says of whether it ran a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Execution {
    /// Nothing: it may have run.
    #[default]
    Possible,
    /// It did not run and never will.
    NotRun,
    /// It did not run and never will, because another upstream was meant.
    Misdirected,
}

/// What a gateway must know of an upstream's answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpstreamHead {
    /// Number of the request that it answers.
    pub id: Option<Box<str>>,
    /// Whether the upstream ran the request.
    pub execution: Execution,
    /// Whether the answer vouches for the upstream's own bytes.
    pub sealed: bool,
    /// Requests that run and wait at the upstream, and its slots.
    pub load: Option<(u32, u32, u32)>,
    /// Whether the body is in a form that nobody asked for.
    pub encoded: bool,
}
