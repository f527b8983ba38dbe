//! HTTP client of a service other than a model engine.

use {
    crate::connection::{ExchangeError, HeadWait, ResponseLimits, UpstreamClient},
    http::{Request, header},
    quay_types::{CallEvent, Error, ErrorKind},
    std::{
        fmt::Display,
        time::{Duration, Instant},
    },
};

/// HTTP client of one service.
#[derive(Debug, Clone)]
pub struct ServiceClient {
    client: UpstreamClient,
    limits: ResponseLimits,
}

impl ServiceClient {
    /// Creates a client of a service whose responses are held within `limits`.
    #[must_use]
    pub const fn new(client: UpstreamClient, limits: ResponseLimits) -> Self {
        Self { client, limits }
    }

    /// Sends one request on a connection of its own, so that an error tells whether the
    /// request may have run, and returns the last event of its attempt. Blocks until
    /// then.
    #[must_use]
    pub fn call(&self, body: &[u8], limit: Duration) -> CallEvent {
        let began = Instant::now();
        let req = Request::post("/").header(header::CONTENT_TYPE, "application/json");
        let mut response = match self.client.send(req, body, HeadWait::of(limit)) {
            Ok(response) => response,
            Err(ExchangeError::NotSent(cause)) => return not_sent(&cause),
            Err(err) => return outcome_unknown(&err),
        };
        let mut held = self.limits.reservation();
        let mut read = Vec::new();
        loop {
            match response.next_part(limit.saturating_sub(began.elapsed())) {
                Ok(Some(part)) => {
                    let bytes = read.len() + part.len();
                    if bytes > self.limits.response_bytes {
                        return too_large(&format!("is over {} bytes", self.limits.response_bytes));
                    }
                    if !self.limits.hold(&mut held, bytes) {
                        return too_large("does not fit into the memory that others leave");
                    }
                    read.extend_from_slice(&part);
                }
                Ok(None) => {
                    return CallEvent::Body {
                        status: response.status.as_u16(),
                        body: read.into(),
                    };
                }
                Err(err) => return outcome_unknown(&err),
            }
        }
    }
}

/// Creates the event for a response that is not held.
fn too_large(why: &str) -> CallEvent {
    let text = format!("the response {why}");
    CallEvent::Failed(Error::new(ErrorKind::UpstreamError, text))
}

/// Creates the event for a request of which nothing was sent.
fn not_sent(err: &impl Display) -> CallEvent {
    CallEvent::Refused(Error::new(
        ErrorKind::NoUpstream,
        format!("can't connect to the service: {err}"),
    ))
}

/// Creates the event for a request that was sent, but whose response was not
/// received: whether the request ran is unknown.
fn outcome_unknown(err: &impl Display) -> CallEvent {
    CallEvent::Failed(Error::new(
        ErrorKind::OutcomeUnknown,
        format!("no response from the service: {err}"),
    ))
}
