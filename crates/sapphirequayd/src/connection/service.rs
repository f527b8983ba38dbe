//! HTTP client of a service other than a model engine.

use {
    bytes::Bytes,
    http::{Request, header},
    http_body_util::{BodyExt as _, Full, LengthLimitError, Limited},
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    quay_types::{CallEvent, Error, ErrorKind},
    std::{fmt::Display, io, net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, runtime, time::timeout},
};

/// Connect time-out; the service is on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a service's response, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// HTTP client of one service.
///
/// It uses `hyper`, since `ureq` takes a chunked body that is cut for a whole one.
#[derive(Debug, Clone)]
pub struct ServiceClient {
    addr: SocketAddr,
}

impl ServiceClient {
    /// Creates a client of the service at `addr`.
    #[must_use]
    pub const fn new(addr: SocketAddr) -> Self {
        Self { addr }
    }

    /// Sends one request on a connection of its own, so that an error tells whether the
    /// request may have run, and returns the last event of its attempt. Blocks until
    /// then.
    #[must_use]
    pub fn call(&self, body: &[u8], limit: Duration) -> CallEvent {
        let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(err) => return not_sent(&err),
        };
        runtime.block_on(async {
            let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await;
            let stream = match connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
                Ok(stream) => stream,
                Err(err) => return not_sent(&err),
            };
            let answered = timeout(limit, self.exchange(stream, body)).await;
            answered.unwrap_or_else(|_| outcome_unknown(&"the deadline passed"))
        })
    }

    /// Sends the request and reads the whole response.
    async fn exchange(&self, stream: TcpStream, body: &[u8]) -> CallEvent {
        let (mut sender, connection) = match http1::handshake(TokioIo::new(stream)).await {
            Ok(parts) => parts,
            Err(err) => return not_sent(&err),
        };
        tokio::spawn(async move {
            if let Err(err) = connection.await {
                log::debug!("event=service_connection_ended cause={err}");
            }
        });
        let req = Request::post("/")
            .header(header::HOST, self.addr.to_string())
            .header(header::CONNECTION, "close")
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::copy_from_slice(body)));
        let req = match req {
            Ok(req) => req,
            Err(err) => return not_sent(&err),
        };
        let response = match sender.send_request(req).await {
            Ok(response) => response,
            Err(err) => return outcome_unknown(&err),
        };
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        match body.collect().await {
            Ok(body) => CallEvent::Body {
                status,
                body: Vec::from(body.to_bytes()).into(),
            },
            Err(err) if err.is::<LengthLimitError>() => CallEvent::Failed(Error::new(
                ErrorKind::UpstreamError,
                format!("the response is over {MAX_RESPONSE_BYTES} bytes"),
            )),
            Err(err) => outcome_unknown(&err),
        }
    }
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
