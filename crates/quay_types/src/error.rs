//! Error kinds, and the table that maps each kind to an HTTP answer.

use {
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// Result with [`Error`] as its error type.
pub type Result<T> = std::result::Result<T, Error>;

/// Declares [`ErrorKind`] together with its table, so that no kind can be
/// added without its answer.
macro_rules! error_kinds {
    ($( $(#[$doc:meta])* $kind:ident => $name:literal, $status:literal, $not_run:literal, $retry:expr; )*) => {
        /// Kind of failure of a request.
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub enum ErrorKind { $( $(#[$doc])* $kind, )* }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &[Self] = &[ $( Self::$kind, )* ];

            /// Name that callers receive in `error.kind`.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $( Self::$kind => $name, )* }
            }

            /// HTTP status of the answer.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self { $( Self::$kind => $status, )* }
            }

            /// Whether the kind guarantees that the request did not run.
            #[must_use]
            pub const fn not_run(self) -> bool {
                match self { $( Self::$kind => $not_run, )* }
            }

            /// Default `Retry-After` in seconds; `None` if a resend would fail
            /// again.
            #[must_use]
            pub const fn retry_after_s(self) -> Option<u32> {
                match self { $( Self::$kind => $retry, )* }
            }
        }
    };
}

error_kinds! {
    /// The request is malformed.
    BadRequest => "bad_request", 400, true, None;
    /// The key is missing or unknown.
    Unauthorized => "unauthorized", 401, true, None;
    /// The program belongs to another account, or the role of the API key does
    /// not allow the operation.
    Forbidden => "forbidden", 403, true, None;
    /// The path, program or service does not exist.
    NotFound => "not_found", 404, true, None;
    /// No configured model has this name.
    UnknownModel => "unknown_model", 404, true, None;
    /// The path does not support the HTTP method.
    MethodNotAllowed => "method_not_allowed", 405, true, None;
    /// The caller sent its request too slowly.
    RequestTimeout => "request_timeout", 408, true, Some(1);
    /// The body is larger than the limit.
    TooLarge => "too_large", 413, true, None;
    /// The idempotency key or call number was used before with other content.
    Conflict => "conflict", 409, true, None;
    /// The preceding call did not end within the time limit.
    PredecessorOpen => "predecessor_open", 409, true, Some(1);
    /// The program has ended.
    ProgramEnded => "program_ended", 410, true, None;
    /// The program's budget does not cover the call.
    BudgetExceeded => "budget_exceeded", 402, true, None;
    /// The program reached its limit on turns, lifetime, depth or sub-agents.
    ProgramLimit => "program_limit", 403, true, None;
    /// The account exceeded its rate limit or its share of concurrent calls.
    AccountLimit => "account_limit", 429, true, Some(1);
    /// The content is quarantined because upstreams crashed while running it.
    Quarantined => "quarantined", 422, true, Some(600);
    /// All suitable upstreams are at capacity.
    Overloaded => "overloaded", 503, true, Some(2);
    /// No suitable upstream is announced.
    NoUpstream => "no_upstream", 503, true, Some(2);
    /// This process is shutting down; another one can serve the request.
    Draining => "draining", 503, true, Some(0);
    /// The ledger group has no quorum, and no permit was issued for the call.
    LedgerUnavailable => "ledger_unavailable", 503, true, Some(2);
    /// The ledger does not answer, and an earlier send with the same key may
    /// have run.
    LedgerUnreachable => "ledger_unreachable", 503, false, Some(2);
    /// The configuration of this entry is out of date.
    ConfigStale => "config_stale", 503, true, Some(1);
    /// The upstream refused the permit before the request ran.
    PermitRefused => "permit_refused", 503, true, Some(0);
    /// The deadline passed before the request was sent to an upstream.
    DeadlineNotRun => "deadline_not_run", 504, true, None;
    /// The caller or its program cancelled the call.
    Cancelled => "cancelled", 499, false, None;
    /// The upstream answered with an error.
    UpstreamError => "upstream_error", 502, false, None;
    /// An attempt of an idempotent call was lost, and no further one is possible.
    UpstreamLost => "upstream_lost", 502, false, Some(1);
    /// The deadline passed while the request ran.
    DeadlineExceeded => "deadline_exceeded", 504, false, None;
    /// The request may or may not have run; it is never run again.
    OutcomeUnknown => "outcome_unknown", 502, false, None;
    /// Internal error of this system.
    Internal => "internal", 500, false, None;
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Error that is returned to a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// Kind, which determines the status, `not_run` and the default of
    /// `Retry-After`.
    pub kind: ErrorKind,
    /// Human-readable description.
    pub message: Box<str>,
    /// Overrides the default `Retry-After` of the kind.
    pub retry_after: Option<Duration>,
    /// Whether an earlier send of the same request may have run. If so, the
    /// answer does not claim `not_run`, even if the kind does for this send.
    pub may_have_run: bool,
}

impl Error {
    /// Creates an error with the default `Retry-After` of `kind`.
    #[must_use]
    pub fn new(kind: ErrorKind, message: impl Into<Box<str>>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: None,
            may_have_run: false,
        }
    }

    /// Overrides `Retry-After`.
    #[must_use]
    pub fn with_retry_after(self, span: Duration) -> Self {
        Self {
            retry_after: Some(span),
            ..self
        }
    }

    /// Marks that an earlier send of the same request may have run.
    #[must_use]
    pub fn with_may_have_run(self) -> Self {
        Self {
            may_have_run: true,
            ..self
        }
    }

    /// Whether it is certain that no send of the request ran.
    #[must_use]
    pub const fn not_run(&self) -> bool {
        self.kind.not_run() && !self.may_have_run
    }

    /// Seconds for the `Retry-After` header, rounded up.
    #[must_use]
    pub fn retry_after_s(&self) -> Option<u32> {
        match self.retry_after {
            Some(span) => {
                let whole = span.as_secs() + u64::from(span.subsec_nanos() > 0);
                Some(u32::try_from(whole).unwrap_or(u32::MAX))
            }
            None => self.kind.retry_after_s(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.message)
    }
}

impl std::error::Error for Error {}
