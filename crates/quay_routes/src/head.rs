//! Parsed heads of requests and of upstreams' responses.

use {
    crate::{KeyDigest, PromptPart},
    http::{Method, Uri},
    quay_types::{ContentDigest, RequestRate},
    std::{fmt, time::Duration},
};

/// Parsed head of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallHead {
    /// Identifier that the caller gave this attempt; repeated in logs and
    /// responses.
    pub id: Box<str>,
    /// Host of the request, without a port.
    pub host: Box<str>,
    /// Path of the request, without the query.
    pub path: Box<str>,
    /// Time that the caller waits for the response.
    pub caller_timeout: Option<Duration>,
    /// Program that the request belongs to, if any.
    pub program: Option<Box<str>>,
    /// Fields that are present only in a turn of a program.
    pub turn: Option<TurnHead>,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// Object that the request concerns, if it names one.
    pub object: Option<Box<str>>,
    /// Fields that are present only if the request takes up a stream again.
    pub resumed: Option<ResumedHead>,
    /// Key with which the caller identifies its account.
    pub credential: Credential,
}

/// Key that a request carries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Credential {
    /// The request carries none.
    #[default]
    Missing,
    /// The request carries something that is no key.
    Malformed,
    /// Digest of the key.
    Key(KeyDigest),
}

impl CallHead {
    /// Name of the program that the request belongs to. A request without one is a
    /// program of its own, and shares it with the attempts that take up its stream.
    #[must_use]
    pub fn program_name(&self) -> &str {
        let resumed = self.resumed.as_ref();
        let first_attempt = resumed.and_then(|it| it.first_attempt.as_deref());
        let program = self.program.as_deref().or(first_attempt);
        program.unwrap_or(&self.id)
    }

    /// Digest of the content of a request, by which it is recognized when it comes
    /// again under another id: method, host, path with query, prior turn and body.
    /// The caller is not part of it; [`CallIds::content`](crate::CallIds::content)
    /// adds its account.
    #[must_use]
    pub fn content(&self, method: &Method, uri: &Uri, body: &[u8]) -> ContentDigest {
        self.content_in_pieces(method, uri, &[body])
    }

    /// [`content`](Self::content) of a request whose body is given in pieces.
    #[must_use]
    pub fn content_in_pieces(&self, method: &Method, uri: &Uri, body: &[&[u8]]) -> ContentDigest {
        let path = uri.path_and_query().map_or("/", |path| path.as_str());
        let turn = self.turn.as_ref();
        let prior = turn.and_then(|turn| turn.prior.as_deref());
        let head = [
            method.as_str().as_bytes(),
            self.host.as_bytes(),
            path.as_bytes(),
            prior.unwrap_or_default().as_bytes(),
        ];
        ContentDigest::with_last(&head, body)
    }
}

/// Fields that are present only in a request that takes up a stream again.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResumedHead {
    /// Identifier of the attempt that brought the first event of the stream, if
    /// the caller names it.
    pub first_attempt: Option<Box<str>>,
}

/// Fields that are present only in a turn of a program.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TurnHead {
    /// Total number of tokens that all turns of the program may generate.
    pub budget: Option<u64>,
    /// Maximum number of tokens that this turn may generate.
    pub max_tokens: u64,
    /// Turn that this turn continues from.
    pub prior: Option<Box<str>>,
}

/// Reason for which the head of a request is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeadError {
    /// The request has no identifier.
    NoId,
    /// The request names no host.
    NoHost,
    /// The named header can't be parsed.
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

/// Whether an upstream may have run a request, according to its response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Execution {
    /// The response does not say; the request may have run.
    #[default]
    Possible,
    /// The request did not run and never will.
    NotRun,
    /// The request did not run and never will, since it was meant for another
    /// upstream.
    Misdirected,
}

/// Load that an upstream reports of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Number of requests running.
    pub running: u32,
    /// Number of requests waiting.
    pub queued: u32,
    /// Number of requests that can run concurrently.
    pub slots: u32,
    /// Time that work takes at this moment, in percent of the usual; `None` if the
    /// upstream does not say.
    pub slowdown: Option<u32>,
}

/// Parsed head of an upstream's response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UpstreamHead {
    /// Identifier of the request that the response answers.
    pub id: Option<Box<str>>,
    /// Whether the upstream may have run the request.
    pub execution: Execution,
    /// Whether the response carries a seal, which shows that its bytes come
    /// from the upstream itself.
    pub sealed: bool,
    /// Load that the upstream reports.
    pub load: Option<UpstreamLoad>,
    /// Whether the upstream says that it is leaving.
    pub leaving: bool,
    /// Requests that the upstream takes from all hosts together, if it names a
    /// limit.
    pub limit: Option<RequestRate>,
    /// Whether the body has a content encoding that was not requested.
    pub encoded: bool,
}
