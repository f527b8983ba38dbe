//! Error responses that a front creates itself.

use {
    crate::gateway::http_server::{Body, full},
    bytes::Bytes,
    http::{HeaderValue, Response, StatusCode, header},
    std::{fmt::Write as _, time::Duration},
};

/// Declares [`Refusal`] and its names, statuses and retry delays in one table.
macro_rules! refusals {
    ($( $(#[$doc:meta])* $kind:ident => $name:literal, $status:literal, $retry_ms:expr; )*) => {
        /// Reason why a front answers a request itself.
        ///
        /// Statuses 401, 402, 404, 408, 429 and 503 guarantee that the request has
        /// not run and never will; 502 and 504 guarantee nothing.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Refusal { $( $(#[$doc])* $kind, )* }

        impl Refusal {
            /// Name in logs, in metrics and in the response body.
            pub const fn name(self) -> &'static str {
                match self { $( Self::$kind => $name, )* }
            }

            /// HTTP status of the response.
            pub const fn status(self) -> u16 {
                match self { $( Self::$kind => $status, )* }
            }

            /// Base retry delay in milliseconds, if a retry can help.
            const fn retry_ms(self) -> Option<u64> {
                match self { $( Self::$kind => $retry_ms, )* }
            }
        }
    };
}

refusals! {
    /// The head of the request is invalid.
    BadHead => "bad_head", 400, None;
    /// The route requires a key and the request carries none.
    KeyMissing => "key_missing", 401, None;
    /// The request's authorization is not one key.
    KeyMalformed => "key_malformed", 401, None;
    /// No account has the request's key.
    KeyUnknown => "key_unknown", 401, None;
    /// The program's budget does not cover the turn.
    BudgetSpent => "budget_spent", 402, None;
    /// No route matches the host and path.
    NoRoute => "no_route", 404, None;
    /// The turn that the request continues does not exist.
    NoTurn => "no_turn", 404, None;
    /// The body did not arrive completely in time.
    BodyMissing => "body_missing", 408, Some(100);
    /// The body is larger than the limit.
    BodyTooLarge => "body_too_large", 413, None;
    /// An upstream may have received the request and gave no usable response.
    OutcomeUnknown => "outcome_unknown", 502, None;
    /// The account has used up its limit.
    QuotaExceeded => "quota_exceeded", 429, Some(500);
    /// There is no routing table yet, or it may be out of date.
    NoTable => "no_table", 503, Some(300);
    /// The front does not know the request's key, but may be out of date.
    KeysOutdated => "keys_outdated", 503, Some(300);
    /// The front has been out of contact for so long that the key may be revoked.
    KeysExpired => "keys_expired", 503, Some(300);
    /// The key of a waiting request belongs to another account now.
    AccountChanged => "account_changed", 503, Some(100);
    /// The stores gave no conclusive answer in time.
    StoresUnsure => "stores_unsure", 503, Some(250);
    /// No upstream currently serves the route's service.
    NoUpstream => "no_upstream", 503, Some(250);
    /// The stream can't be taken up, only begun anew.
    NotResumable => "not_resumable", 503, None;
    /// It is not certain which version of the upstreams' software began the stream.
    StreamUnknown => "stream_unknown", 503, None;
    /// No upstream serves at the version that began the stream.
    VersionGone => "version_gone", 503, None;
    /// The front has no memory for the request.
    NoMemory => "no_memory", 503, Some(250);
    /// The service can't finish another program in time.
    Overloaded => "overloaded", 503, Some(250);
    /// The request's content is known to crash upstreams.
    Quarantined => "quarantined", 503, Some(600_000);
    /// Upstreams take no more requests than they get already, by their limits.
    Limited => "limited", 503, Some(250);
    /// Upstreams were unreachable or did not run the request.
    UpstreamsFull => "upstreams_full", 503, Some(120);
    /// The front is shutting down, and the request might not end before.
    Draining => "draining", 503, Some(20);
    /// The deadline passed before an upstream received the request.
    TooLate => "too_late", 503, Some(100);
    /// The deadline passed after an upstream may have received the request.
    TimedOut => "timed_out", 504, None;
}

/// Jitter added to the retry delay, at most this percentage of it.
const JITTER_PERCENT: u64 = 100;

/// A refusal with the time after which the caller may retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Reason of the refusal.
    pub reason: Refusal,
    /// Delay in place of that of the reason.
    pub retry_after: Option<Duration>,
}

impl From<Refusal> for Refused {
    fn from(reason: Refusal) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }
}

impl Refused {
    /// Creates the response; see [`Refusal::response`].
    pub fn response(self, draw: u64) -> Response<Body> {
        let wait = self.retry_after.or_else(|| self.reason.retry_after(draw));
        self.reason.response_with(wait)
    }
}

impl Refusal {
    /// Creates the response. The jitter comes from `draw`, a hash of the
    /// request id, so that callers refused at the same time do not retry at the
    /// same time.
    pub fn response(self, draw: u64) -> Response<Body> {
        self.response_with(self.retry_after(draw))
    }

    fn response_with(self, retry_after: Option<Duration>) -> Response<Body> {
        let mut text = String::from("{\"error\":{\"kind\":\"");
        text.push_str(self.name());
        let _ = write!(text, "\",\"not_run\":{}}}}}", self.guarantees_not_run());
        let mut response = Response::new(full(Bytes::from(text)));
        *response.status_mut() =
            StatusCode::from_u16(self.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if self.status() == StatusCode::UNAUTHORIZED {
            let scheme = HeaderValue::from_static("Bearer");
            headers.insert(header::WWW_AUTHENTICATE, scheme);
        }
        if let Some(wait) = retry_after {
            let seconds = format!("{:.3}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }

    /// Delay after which the caller may retry, with jitter.
    pub fn retry_after(self, draw: u64) -> Option<Duration> {
        let base = self.retry_ms()?;
        let jitter = base * (draw % (JITTER_PERCENT + 1)) / 100;
        Some(Duration::from_millis(base + jitter))
    }

    /// Whether the response guarantees that the request has not run and never
    /// will.
    pub const fn guarantees_not_run(self) -> bool {
        !matches!(self.status(), 502 | 504)
    }
}
