//! HTTP client of the upstream beside a sidecar, for threads that block.

use {
    crate::connection::{CloseOnDrop, LimitedBody, LimitedStream, OverheadLimit, is_final_status},
    bytes::Bytes,
    http::{HeaderMap, Request, StatusCode, header, request},
    http_body_util::{BodyExt as _, Full},
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    std::{
        error::Error,
        fmt::{self, Display},
        future::{Future, pending},
        io,
        net::SocketAddr,
        thread,
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        runtime::{Builder, Handle},
        time::timeout,
    },
};

/// Connect time-out; the upstream is on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Bytes that one read takes, which are held beside what is counted.
const MAX_READ_BYTES: usize = 16 << 10;

/// HTTP client of one upstream. Clones share a thread that drives their connections.
///
/// Connections are not pooled: a pooled connection may already be closed, and its failure
/// would not tell whether the request ran.
#[derive(Debug, Clone)]
pub struct UpstreamClient {
    addr: SocketAddr,
    runtime: Handle,
}

/// Longest waits for the head of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadWait {
    /// Time without a byte sent or received, at least; up to twice as long.
    pub silence: Duration,
    /// Time in all.
    pub total: Duration,
}

impl HeadWait {
    /// A wait that silence does not end.
    pub const fn of(total: Duration) -> Self {
        Self {
            silence: total,
            total,
        }
    }
}

/// Reason why a request got no response.
#[derive(Debug)]
pub enum ExchangeError {
    /// Nothing was sent.
    NotSent(Box<str>),
    /// The response did not arrive in time.
    TimedOut,
    /// The connection failed, or sent no response.
    Broken(Box<str>),
}

impl Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(cause) | Self::Broken(cause) => f.write_str(cause),
            Self::TimedOut => f.write_str("no response in time"),
        }
    }
}

/// Response whose body is read in parts; dropping it closes the connection.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    body: LimitedBody,
    runtime: Handle,
    _connection: CloseOnDrop,
}

impl UpstreamClient {
    /// Creates a client of the upstream at `addr`, and its thread.
    ///
    /// # Errors
    ///
    /// If the thread or its runtime can't be created.
    pub fn start(addr: SocketAddr) -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        thread::Builder::new()
            .name("upstream".into())
            .spawn(move || runtime.block_on(pending::<()>()))?;
        Ok(Self {
            addr,
            runtime: handle,
        })
    }

    /// Sends one request on a connection of its own and waits for the head of the
    /// response.
    ///
    /// # Errors
    ///
    /// If there is no response.
    pub fn send(
        &self,
        req: request::Builder,
        body: &[u8],
        wait: HeadWait,
    ) -> Result<UpstreamResponse, ExchangeError> {
        let req = req
            .header(header::HOST, self.addr.to_string())
            .header(header::CONNECTION, "close")
            .body(Full::new(Bytes::copy_from_slice(body)))
            .map_err(not_sent)?;
        self.runtime.block_on(self.exchange(req, wait))
    }

    async fn exchange(
        &self,
        req: Request<Full<Bytes>>,
        wait: HeadWait,
    ) -> Result<UpstreamResponse, ExchangeError> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr));
        let connected = connecting.await.map_err(io::Error::from);
        let stream = connected.and_then(|it| it).map_err(not_sent)?;
        let _ = stream.set_nodelay(true);
        let limit = OverheadLimit::default();
        let stream = LimitedStream::new(stream, limit.clone(), MAX_READ_BYTES);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = handshake.map_err(not_sent)?;
        let task = tokio::spawn(async move {
            if let Err(err) = connection.await {
                log::debug!("event=upstream_connection_ended cause=\"{err}\"");
            }
        });
        let close = CloseOnDrop(task.abort_handle());
        let sending = while_active(&limit, wait.silence, sender.send_request(req));
        let sent = timeout(wait.total, sending).await.ok().flatten();
        let response = sent.ok_or(ExchangeError::TimedOut)?;
        let response = response.map_err(|err| ExchangeError::Broken(cause(&err)))?;
        if !is_final_status(response.status()) {
            let text = format!("response with the status {}", response.status().as_u16());
            return Err(ExchangeError::Broken(text.into()));
        }
        let (head, body) = LimitedBody::wrap(response, limit).into_parts();
        Ok(UpstreamResponse {
            status: head.status,
            headers: head.headers,
            body,
            runtime: self.runtime.clone(),
            _connection: close,
        })
    }
}

impl UpstreamResponse {
    /// Waits for the next part of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// If the body breaks off, or there is no part within `limit`.
    pub fn next_part(&mut self, limit: Duration) -> Result<Option<Bytes>, ExchangeError> {
        let frame = async { timeout(limit, self.body.frame()).await };
        match self.runtime.block_on(frame) {
            Err(_) => Err(ExchangeError::TimedOut),
            Ok(None) => Ok(None),
            // Trailers have no data.
            Ok(Some(Ok(frame))) => Ok(Some(frame.into_data().unwrap_or_default())),
            Ok(Some(Err(err))) => Err(ExchangeError::Broken(cause(&err))),
        }
    }
}

/// Waits until `done`, but no longer than bytes are transferred. `None` after a time of
/// `silence` without any.
async fn while_active<T>(
    limit: &OverheadLimit,
    silence: Duration,
    done: impl Future<Output = T>,
) -> Option<T> {
    tokio::pin!(done);
    loop {
        let before = limit.transferred();
        match timeout(silence, &mut done).await {
            Ok(done) => return Some(done),
            Err(_) if limit.transferred() == before => return None,
            Err(_) => {}
        }
    }
}

fn not_sent(err: impl Display) -> ExchangeError {
    ExchangeError::NotSent(err.to_string().into())
}

/// An error with its cause, which tells more.
fn cause(err: &impl Error) -> Box<str> {
    match err.source() {
        Some(source) => format!("{err}: {source}").into(),
        None => err.to_string().into(),
    }
}
