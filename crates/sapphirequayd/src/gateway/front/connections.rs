//! Connections to upstreams.

use {
    bytes::Bytes,
    http::{HeaderMap, Request, Response, header},
    http_body_util::Full,
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    indexmap::IndexMap,
    socket2::SockRef,
    std::{
        cell::RefCell,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpStream,
        task::{AbortHandle, spawn_local},
        time::timeout,
    },
};

/// Longest time to set up a connection: many round trips between data
/// centres, and less than the resending of a lost first packet.
const CONNECT_WITHIN: Duration = Duration::from_millis(350);

/// Time after which bytes that a peer does not acknowledge end a connection.
const UNACKED: Duration = Duration::from_secs(3);

/// Idle time after which a connection is not used again, where the upstream
/// names none.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);

/// Connections that stay open to one upstream without a request.
const MAX_IDLE: usize = 12;

/// Body of a request to an upstream.
type RequestBody = Full<Bytes>;

/// A connection without a request.
#[derive(Debug)]
struct Idle {
    sender: http1::SendRequest<RequestBody>,
    task: CloseOnDrop,
    until: Instant,
}

/// Connections to upstreams that wait for a request.
#[derive(Debug, Clone, Default)]
pub struct Connections(Rc<RefCell<IndexMap<SocketAddr, Vec<Idle>>>>);

/// A connection that serves a request; it is closed at once when dropped.
#[derive(Debug)]
pub struct Lease {
    addr: SocketAddr,
    sender: http1::SendRequest<RequestBody>,
    /// Whether requests came over the connection before.
    reused: bool,
    task: CloseOnDrop,
}

/// Ends the task that drives a connection, which closes the connection.
#[derive(Debug)]
struct CloseOnDrop(AbortHandle);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Why there is no answer.
#[derive(Debug)]
pub enum SendFault {
    /// Not a byte of the request was written.
    NotSent,
    /// The request may have reached the upstream.
    Unknown(hyper::Error),
}

impl Connections {
    /// A connection to an address.
    ///
    /// # Errors
    ///
    /// If none could be set up; nothing was sent then.
    pub async fn lease(&self, addr: SocketAddr) -> std::io::Result<Lease> {
        while let Some(idle) = self.take(addr) {
            if idle.sender.is_ready() && idle.until > Instant::now() {
                return Ok(Lease {
                    addr,
                    sender: idle.sender,
                    reused: true,
                    task: idle.task,
                });
            }
        }
        let connecting = timeout(CONNECT_WITHIN, TcpStream::connect(addr));
        let stream = connecting.await.map_err(std::io::Error::from)??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        if let Err(err) = socket.set_tcp_user_timeout(Some(UNACKED)) {
            log::debug!("event=user_timeout_unset cause={err}");
        }
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, conn) = handshake.map_err(std::io::Error::other)?;
        let task = spawn_local(async move {
            if let Err(err) = conn.await {
                log::debug!("event=upstream_connection_ended addr={addr} cause={err}");
            }
        });
        Ok(Lease {
            addr,
            sender,
            reused: false,
            task: CloseOnDrop(task.abort_handle()),
        })
    }

    /// The connection that was used last.
    fn take(&self, addr: SocketAddr) -> Option<Idle> {
        self.0.borrow_mut().get_mut(&addr)?.pop()
    }

    /// Takes a connection back after a whole answer with these headers.
    pub fn give_back(&self, lease: Lease, headers: &HeaderMap) {
        let idle = idle_time(headers);
        if idle.is_zero() || lease.sender.is_closed() {
            return;
        }
        let mut all = self.0.borrow_mut();
        let held = all.entry(lease.addr).or_default();
        if held.len() >= MAX_IDLE {
            return;
        }
        held.push(Idle {
            sender: lease.sender,
            task: lease.task,
            until: Instant::now() + idle,
        });
    }

    /// Closes the connections that have been idle for too long.
    pub fn close_idle(&self) {
        let now = Instant::now();
        let mut all = self.0.borrow_mut();
        for held in all.values_mut() {
            held.retain(|idle| idle.until > now && !idle.sender.is_closed());
        }
        all.retain(|_, held| !held.is_empty());
    }
}

impl Lease {
    /// Whether requests came over the connection before.
    pub const fn reused(&self) -> bool {
        self.reused
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Tells whether the upstream may have got the request.
    pub async fn send(
        &mut self,
        req: Request<RequestBody>,
    ) -> Result<Response<Incoming>, SendFault> {
        match self.sender.try_send_request(req).await {
            Ok(response) => Ok(response),
            Err(mut err) => match err.take_message() {
                Some(_) => Err(SendFault::NotSent),
                None => Err(SendFault::Unknown(err.into_error())),
            },
        }
    }
}

/// Time for which a connection may be used again after an answer.
fn idle_time(headers: &HeaderMap) -> Duration {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let closes =
        text(header::CONNECTION).is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if closes {
        return Duration::ZERO;
    }
    let named = text(header::HeaderName::from_static("keep-alive")).and_then(|value| {
        let timeout = value
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="));
        timeout?.trim().parse().ok()
    });
    // Four fifths, since the upstream counts from another moment.
    named.map_or(IDLE_DEFAULT, |seconds: u64| {
        Duration::from_millis(seconds.saturating_mul(800))
    })
}
