//! Answers that a front gives by itself.

use {
    crate::gateway::http_server::{Body, full},
    bytes::Bytes,
    http::{HeaderValue, Response, StatusCode, header},
    std::{fmt::Write as _, time::Duration},
};

/// Declares [`Refusal`] and its table in one place.
macro_rules! refusals {
    ($( $(#[$doc:meta])* $kind:ident => $name:literal, $status:literal, $retry_ms:expr; )*) => {
        /// Every answer that a front gives by itself.
        ///
        /// 402, 404, 408, 429 and 503 promise that the request has not run and
        /// never will; 502 and 504 promise nothing.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Refusal { $( $(#[$doc])* $kind, )* }

        impl Refusal {
            /// Name in logs and in the answer.
            pub const fn name(self) -> &'static str {
                match self { $( Self::$kind => $name, )* }
            }

            /// Status of the answer.
            pub const fn status(self) -> u16 {
                match self { $( Self::$kind => $status, )* }
            }

            /// Milliseconds after which a caller may come back, if that helps.
            const fn retry_ms(self) -> Option<u64> {
                match self { $( Self::$kind => $retry_ms, )* }
            }
        }
    };
}

refusals! {
    /// The head can't be used.
    BadHead => "bad_head", 400, None;
    /// The program's budget does not cover the turn.
    BudgetSpent => "budget_spent", 402, None;
    /// No route leads there.
    NoRoute => "no_route", 404, None;
    /// The turn that is continued does not exist.
    NoTurn => "no_turn", 404, None;
    /// The body did not arrive.
    BodyMissing => "body_missing", 408, Some(100);
    /// The body is larger than the limit.
    BodyTooLarge => "body_too_large", 413, None;
    /// An upstream got the request and gave no usable answer.
    OutcomeUnknown => "outcome_unknown", 502, None;
    /// There is no routing table yet, or it may be out of date.
    NoTable => "no_table", 503, Some(300);
    /// The stores give no certain answer.
    StoresUnsure => "stores_unsure", 503, Some(250);
    /// No upstream serves the route's service now.
    NoUpstream => "no_upstream", 503, Some(250);
    /// Every upstream that was asked is full.
    UpstreamsFull => "upstreams_full", 503, Some(120);
    /// The time is over before an upstream got the request.
    TooLate => "too_late", 503, Some(100);
    /// The time is over while an upstream had the request.
    TimedOut => "timed_out", 504, None;
}

/// Share of the wait by which callers' returns are spread, from it upwards.
const SPREAD_PERCENT: u64 = 100;

impl Refusal {
    /// The answer. `draw` spreads the returns of callers that are refused together.
    pub fn answer(self, draw: u64) -> Response<Body> {
        let mut text = String::from("{\"error\":{\"kind\":\"");
        text.push_str(self.name());
        let _ = write!(text, "\",\"not_run\":{}}}}}", self.promises_not_run());
        let mut response = Response::new(full(Bytes::from(text)));
        *response.status_mut() =
            StatusCode::from_u16(self.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if let Some(wait) = self.retry_after(draw) {
            let seconds = format!("{:.3}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }

    /// When the caller may come back.
    pub fn retry_after(self, draw: u64) -> Option<Duration> {
        let base = self.retry_ms()?;
        let spread = base * (draw % (SPREAD_PERCENT + 1)) / 100;
        Some(Duration::from_millis(base + spread))
    }

    /// Whether the answer promises that the request has not run and never will.
    pub const fn promises_not_run(self) -> bool {
        !matches!(self.status(), 502 | 504)
    }
}
