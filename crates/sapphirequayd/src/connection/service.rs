//! Client of a plain service's HTTP interface.

use {
    quay_types::{CallEvent, Error, ErrorKind},
    std::{io::Read as _, net::SocketAddr, time::Duration},
};

/// Limit of setting up a connection to the service on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest answer of a service.
const MAX_ANSWER_BYTES: u64 = 4 << 20;

/// Calls one plain service.
#[derive(Debug, Clone)]
pub struct ServiceClient {
    agent: ureq::Agent,
    url: Box<str>,
}

impl ServiceClient {
    /// A client of the service at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        // Neither pool nor redirects: each request is sent once, on a
        // connection of its own, so that its failure says whether it ran.
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
            Ok(response) | Err(ureq::Error::Status(_, response)) => read_answer(response),
            Err(ureq::Error::Transport(err)) if never_connected(&err) => {
                CallEvent::Refused(Error::new(
                    ErrorKind::NoUpstream,
                    format!("the service takes no connection: {err}"),
                ))
            }
            Err(ureq::Error::Transport(err)) => lost(&err),
        }
    }
}

/// Whether an error came before a byte of the request was written.
fn never_connected(err: &ureq::Transport) -> bool {
    matches!(
        err.kind(),
        ureq::ErrorKind::ConnectionFailed | ureq::ErrorKind::Dns | ureq::ErrorKind::InvalidUrl
    )
}

/// Reads the whole answer.
fn read_answer(response: ureq::Response) -> CallEvent {
    let status = response.status();
    let mut body = Vec::new();
    let read = response
        .into_reader()
        .take(MAX_ANSWER_BYTES + 1)
        .read_to_end(&mut body);
    match read {
        Ok(_) if body.len() as u64 > MAX_ANSWER_BYTES => CallEvent::Failed(Error::new(
            ErrorKind::UpstreamError,
            format!("the answer is over {MAX_ANSWER_BYTES} bytes"),
        )),
        Ok(_) => CallEvent::Body {
            status,
            body: body.into(),
        },
        Err(err) => lost(&err),
    }
}

/// The request was sent, and its answer did not come.
fn lost(err: &impl std::fmt::Display) -> CallEvent {
    CallEvent::Failed(Error::new(
        ErrorKind::OutcomeUnknown,
        format!("service: {err}"),
    ))
}
