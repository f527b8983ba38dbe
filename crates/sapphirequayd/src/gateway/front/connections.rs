//! Pool of HTTP connections to upstreams.

use {
    super::history::ForwardedBody,
    crate::{
        connection::{CloseOnDrop, LimitedBody, LimitedStream, OverheadLimit},
        process::Clock,
    },
    http::{HeaderMap, Request, Response, header},
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    indexmap::IndexMap,
    quay_policy::CheckResult,
    quay_types::Time,
    socket2::SockRef,
    std::{
        cell::RefCell,
        io::{self, ErrorKind},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{net::TcpStream, task::spawn_local, time::timeout},
};

/// Time-out for setting up a connection: many round trips between data centres,
/// but less than the retransmission of a lost first packet takes.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Time after which a connection with unacknowledged bytes is closed
/// (`TCP_USER_TIMEOUT`).
const UNACKED_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle time after which a connection is not reused, if the upstream sends no
/// keep-alive time-out.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum number of idle connections to one upstream.
const MAX_IDLE_CONNECTIONS: usize = 12;

/// Bytes that one read takes on a host with a memory budget. `hyper` sizes the buffer
/// of a connection by the reads before, up to 400 kB, which are not counted.
const MAX_READ_BYTES: usize = 16 << 10;

/// An idle connection.
#[derive(Debug)]
struct Idle {
    sender: http1::SendRequest<ForwardedBody>,
    limit: OverheadLimit,
    /// Time at which the connection was set up.
    connected: Time,
    task: CloseOnDrop,
    until: Time,
}

/// Pool of idle connections to upstreams.
#[derive(Debug, Clone)]
pub struct Connections {
    clock: Clock,
    /// Bytes that one read takes.
    max_read: usize,
    idle: Rc<RefCell<IndexMap<SocketAddr, Vec<Idle>>>>,
}

/// A connection in use by a request; dropping it closes the connection at once.
#[derive(Debug)]
pub struct Lease {
    addr: SocketAddr,
    sender: http1::SendRequest<ForwardedBody>,
    limit: OverheadLimit,
    /// Time at which the connection was set up.
    connected: Time,
    /// Whether the connection served an earlier request.
    reused: bool,
    task: CloseOnDrop,
}

/// Reason why a request got no response.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was written.
    NotSent,
    /// The request may have reached the upstream.
    Unknown(hyper::Error),
}

impl Connections {
    /// Creates an empty pool. `has_budget` tells whether the memory of the host is
    /// limited.
    pub fn new(clock: Clock, has_budget: bool) -> Self {
        Self {
            clock,
            max_read: if has_budget {
                MAX_READ_BYTES
            } else {
                usize::MAX
            },
            idle: Rc::default(),
        }
    }

    /// Takes an idle connection to an address or sets up a new one.
    ///
    /// # Errors
    ///
    /// If no connection could be set up; nothing was sent in this case.
    pub async fn lease(&self, addr: SocketAddr) -> io::Result<Lease> {
        while let Some(idle) = self.take(addr) {
            if idle.sender.is_ready() && idle.until > self.clock.now() {
                return Ok(Lease {
                    addr,
                    sender: idle.sender,
                    limit: idle.limit,
                    connected: idle.connected,
                    reused: true,
                    task: idle.task,
                });
            }
        }
        self.connect(addr).await
    }

    /// Sets up a new connection.
    async fn connect(&self, addr: SocketAddr) -> io::Result<Lease> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
        let stream = connecting.await.map_err(io::Error::from)??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        if let Err(err) = socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT)) {
            log::debug!("event=user_timeout_unset cause={err}");
        }
        let limit = OverheadLimit::default();
        let stream = LimitedStream::new(stream, limit.clone(), self.max_read);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, conn) = handshake.map_err(io::Error::other)?;
        let task = spawn_local(async move {
            if let Err(err) = conn.await {
                log::debug!("event=upstream_connection_ended addr={addr} cause={err}");
            }
        });
        Ok(Lease {
            addr,
            sender,
            limit,
            connected: self.clock.now(),
            reused: false,
            task: CloseOnDrop(task.abort_handle()),
        })
    }

    /// Tells whether an upstream accepts connections, by setting up a new one,
    /// which joins the pool.
    pub async fn check(&self, addr: SocketAddr) -> CheckResult {
        match self.connect(addr).await {
            Ok(lease) => {
                self.pool(lease, DEFAULT_IDLE_TIMEOUT);
                CheckResult::Reachable
            }
            Err(err) => check_result(&err),
        }
    }

    /// Takes the most recently used idle connection.
    fn take(&self, addr: SocketAddr) -> Option<Idle> {
        self.idle.borrow_mut().get_mut(&addr)?.pop()
    }

    /// Returns a connection to the pool after a complete response with the
    /// given headers, which tell whether and how long it may be reused.
    pub fn give_back(&self, lease: Lease, headers: &HeaderMap) {
        self.pool(lease, idle_time(headers));
    }

    /// Adds a connection to the pool that may be reused within `idle`.
    fn pool(&self, lease: Lease, idle: Duration) {
        if idle.is_zero() || lease.sender.is_closed() {
            return;
        }
        let mut all = self.idle.borrow_mut();
        let pooled = all.entry(lease.addr).or_default();
        if pooled.len() >= MAX_IDLE_CONNECTIONS {
            return;
        }
        pooled.push(Idle {
            sender: lease.sender,
            limit: lease.limit,
            connected: lease.connected,
            task: lease.task,
            until: self.clock.now() + idle,
        });
    }

    /// Closes connections that are past their idle time.
    pub fn close_idle(&self) {
        let now = self.clock.now();
        let mut all = self.idle.borrow_mut();
        for pooled in all.values_mut() {
            pooled.retain(|idle| idle.until > now && !idle.sender.is_closed());
        }
        all.retain(|_, pooled| !pooled.is_empty());
    }
}

impl Lease {
    /// Time at which the connection was set up.
    pub const fn connected(&self) -> Time {
        self.connected
    }

    /// Whether the connection served an earlier request.
    pub const fn reused(&self) -> bool {
        self.reused
    }

    /// Waits until the connection takes another request after a response that was read to
    /// its end. Returns `false` if it takes none.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// If there is no response; tells whether the upstream may have received
    /// the request.
    pub async fn send(
        &mut self,
        req: Request<ForwardedBody>,
    ) -> Result<Response<LimitedBody>, SendError> {
        self.limit.restart();
        let sent = self.sender.try_send_request(req).await;
        match sent {
            Ok(response) => Ok(LimitedBody::wrap(response, self.limit.clone())),
            Err(mut err) => match err.take_message() {
                Some(_) => Err(SendError::NotSent),
                None => Err(SendError::Unknown(err.into_error())),
            },
        }
    }
}

/// What a failure to set up a connection says about the upstream.
pub fn check_result(err: &io::Error) -> CheckResult {
    match err.kind() {
        ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => CheckResult::Refused,
        ErrorKind::TimedOut | ErrorKind::HostUnreachable | ErrorKind::NetworkUnreachable => {
            CheckResult::TimedOut
        }
        _ => CheckResult::Unknown,
    }
}

/// Time for which a connection may be reused after a response.
fn idle_time(headers: &HeaderMap) -> Duration {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let closes =
        text(header::CONNECTION).is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if closes {
        return Duration::ZERO;
    }
    let announced = text(header::HeaderName::from_static("keep-alive")).and_then(|value| {
        let timeout = value
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="));
        timeout?.trim().parse().ok()
    });
    // Four fifths, since the upstream starts its timer at another moment.
    announced.map_or(DEFAULT_IDLE_TIMEOUT, |seconds: u64| {
        Duration::from_millis(seconds.saturating_mul(800))
    })
}
