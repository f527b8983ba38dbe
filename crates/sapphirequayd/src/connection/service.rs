//! HTTP client of a service other than a model engine.

use {
    quay_types::{CallEvent, Error, ErrorKind},
    std::{io::Read as _, net::SocketAddr, time::Duration},
};

/// Connect time-out; the service is on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a service's response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;

/// HTTP client of one service.
#[derive(Debug, Clone)]
pub struct ServiceClient {
    agent: ureq::Agent,
    url: Box<str>,
}

impl ServiceClient {
    /// Creates a client of the service at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        // Without connection pool and redirects, each request is sent once on
        // a connection of its own, so that an error tells whether the request
        // may have run.
        let agent = ureq::AgentBuilder::new()
            .timeout_connect(CONNECT_TIMEOUT)
            .max_idle_connections(0)
            .redirects(0)
            .build();
        Self {
            agent,
            url: format!("http://{addr}/").into(),
        }
    }

    /// Sends one request and returns the last event of its attempt.
    #[must_use]
    pub fn call(&self, body: &[u8], timeout: Duration) -> CallEvent {
        let sent = self
            .agent
            .post(&self.url)
            .timeout(timeout)
            .set("content-type", "application/json")
            .send_bytes(body);
        match sent {
            Ok(response) | Err(ureq::Error::Status(_, response)) => read_response(response),
            Err(ureq::Error::Transport(err)) if failed_before_send(&err) => {
                CallEvent::Refused(Error::new(
                    ErrorKind::NoUpstream,
                    format!("can't connect to the service: {err}"),
                ))
            }
            Err(ureq::Error::Transport(err)) => outcome_unknown(&err),
        }
    }
}

/// Whether an error occurred before any byte of the request was sent.
fn failed_before_send(err: &ureq::Transport) -> bool {
    matches!(
        err.kind(),
        ureq::ErrorKind::ConnectionFailed | ureq::ErrorKind::Dns | ureq::ErrorKind::InvalidUrl
    )
}

/// Reads the whole response.
fn read_response(response: ureq::Response) -> CallEvent {
    let status = response.status();
    let mut body = Vec::new();
    let read = response
        .into_reader()
        .take(MAX_RESPONSE_BYTES + 1)
        .read_to_end(&mut body);
    match read {
        Ok(_) if body.len() as u64 > MAX_RESPONSE_BYTES => CallEvent::Failed(Error::new(
            ErrorKind::UpstreamError,
            format!("the response is over {MAX_RESPONSE_BYTES} bytes"),
        )),
        Ok(_) => CallEvent::Body {
            status,
            body: body.into(),
        },
        Err(err) => outcome_unknown(&err),
    }
}

/// Creates the event for a request that was sent, but whose response was not
/// received: whether the request ran is unknown.
fn outcome_unknown(err: &impl std::fmt::Display) -> CallEvent {
    CallEvent::Failed(Error::new(
        ErrorKind::OutcomeUnknown,
        format!("no response from the service: {err}"),
    ))
}
