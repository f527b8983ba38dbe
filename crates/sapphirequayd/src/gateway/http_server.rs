//! HTTP/1 server: accepts connections and serves their requests.

use {
    super::host_memory::{HostMemory, OpenConnection},
    bytes::Bytes,
    http::{Request, Response, Version},
    http_body_util::{BodyExt as _, Full, combinators::UnsyncBoxBody},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    socket2::SockRef,
    std::{cell::Cell, convert::Infallible, fmt, future::Future, pin::Pin, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Notify,
        task::spawn_local,
    },
};

/// Reason why a response body was aborted before its end.
#[derive(Debug)]
pub struct BodyAborted(pub &'static str);

impl fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "response body aborted: {}", self.0)
    }
}

impl std::error::Error for BodyAborted {}

/// Response body.
pub type Body = UnsyncBoxBody<Bytes, BodyAborted>;

/// Creates a body from bytes that are complete.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Limits of a server; they may change while it runs and apply to connections
/// accepted afterwards.
#[derive(Debug, Clone)]
pub struct ServerLimits {
    /// Maximum size of a request's head in bytes.
    pub head_bytes: Rc<Cell<usize>>,
    /// Time-out for reading a request's head, which includes the idle time
    /// before it.
    pub idle: Rc<Cell<Duration>>,
    /// Closes connections gracefully, between two responses.
    pub closing: Rc<ConnectionDrain>,
    /// Budget in which the connections count. Each request has the number of its
    /// connection as an extension if there is one.
    pub memory: HostMemory,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            head_bytes: Rc::new(Cell::new(32 << 10)),
            idle: Rc::new(Cell::new(Duration::from_secs(30))),
            closing: Rc::default(),
            memory: HostMemory::default(),
        }
    }
}

/// Graceful shutdown of a server's connections, and the count of open ones.
#[derive(Debug, Default)]
pub struct ConnectionDrain {
    begun: Cell<bool>,
    /// Notified when the shutdown begins.
    begin_notify: Notify,
    /// Number of open connections.
    open: Cell<usize>,
    /// Notified when a connection is closed.
    closed_notify: Notify,
}

impl ConnectionDrain {
    /// Closes every connection once its request in progress is answered.
    pub fn begin(&self) {
        self.begun.set(true);
        self.begin_notify.notify_waiters();
    }

    /// Whether the shutdown has begun.
    pub const fn has_begun(&self) -> bool {
        self.begun.get()
    }

    /// Waits until all connections are closed.
    pub async fn all_closed(&self) {
        while self.open() > 0 {
            let notified = self.closed_notify.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            if self.open() > 0 {
                notified.await;
            }
        }
    }

    /// Number of open connections.
    pub const fn open(&self) -> usize {
        self.open.get()
    }
}

/// Smallest head buffer that `hyper` accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;

/// Send buffer of a caller's connection on a host with a memory budget; Linux doubles
/// it. By itself Linux lets it grow to 4 MB, which counts as memory of the host.
/// 64 kB within a round trip of 20 ms between data centres is 3.2 MB/s, more than the
/// link of most fronts.
const SEND_BUFFER_BYTES: usize = 32 << 10;

/// Time-out for reading a request's head on a connection that is accepted during a
/// shutdown, which an idle connection must not delay.
const LAST_HEAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay after `accept` failed, for example because no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections and serves their requests until the task is dropped.
pub async fn serve<F, R>(listener: TcpListener, handler: F, limits: &ServerLimits)
where
    F: Fn(Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Result<Response<Body>, Infallible>> + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("event=accept_failed cause={err:?}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        if limits.memory.is_limited()
            && let Err(err) = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES)
        {
            log::debug!("event=send_buffer_unset cause={err}");
        }
        let mut builder = http1::Builder::new();
        // A connection that arrives while the others are closed gets one answer.
        let last = limits.closing.has_begun();
        let head_timeout = if last {
            limits.idle.get().min(LAST_HEAD_TIMEOUT)
        } else {
            limits.idle.get()
        };
        builder
            .timer(TokioTimer::new())
            .keep_alive(!last)
            .header_read_timeout(head_timeout)
            .max_buf_size(limits.head_bytes.get().max(MIN_HEAD_BYTES));
        let handler = handler.clone();
        // Boxed, so that idle connections hold no memory for a request's
        // future.
        let open = limits.memory.open_connection();
        let id = open.as_ref().map(OpenConnection::id);
        let http_10 = Rc::new(Cell::new(false));
        let latest = Rc::clone(&http_10);
        let service = service_fn(move |mut req: Request<Incoming>| {
            latest.set(req.version() == Version::HTTP_10);
            if let Some(id) = id {
                req.extensions_mut().insert(id);
            }
            Box::pin(handler(req))
        });
        let conn = builder.serve_connection(TokioIo::new(stream), service);
        let closing = Rc::clone(&limits.closing);
        spawn_local(drive_connection(conn, closing, open, (http_10, last)));
    }
}

/// Drives one connection until it is closed, or ended for want of memory. `http_10`
/// tells whether the latest request is of HTTP/1.0, whose responses have no chunks: one
/// without a length would look complete when an aborted connection is closed; `last`,
/// whether the connection closes after one response anyway.
async fn drive_connection<S>(
    mut conn: http1::Connection<TokioIo<TcpStream>, S>,
    closing: Rc<ConnectionDrain>,
    open: Option<OpenConnection>,
    (http_10, last): (Rc<Cell<bool>>, bool),
) where
    S: hyper::service::HttpService<Incoming, ResBody = Body>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    closing.open.set(closing.open.get() + 1);
    let mut shutting_down = last;
    let ended_early = async {
        match &open {
            Some(open) => open.ended().await,
            None => std::future::pending().await,
        }
    };
    tokio::pin!(ended_early);
    loop {
        let notified = closing.begin_notify.notified();
        tokio::select! {
            ended = Pin::new(&mut conn) => {
                if let Err(err) = ended {
                    log::debug!("event=caller_connection_ended cause={err}");
                    if http_10.get() {
                        reset(conn);
                    }
                }
                break;
            }
            () = notified, if !shutting_down => {
                shutting_down = true;
                close_after_response(&mut conn);
            }
            () = &mut ended_early => {
                reset(conn);
                break;
            }
        }
    }
    closing.open.set(closing.open.get() - 1);
    closing.closed_notify.notify_waiters();
}

/// Closes a connection once its request in progress is answered.
fn close_after_response<S>(conn: &mut http1::Connection<TokioIo<TcpStream>, S>)
where
    S: hyper::service::HttpService<Incoming, ResBody = Body>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    Pin::new(conn).graceful_shutdown();
}

/// Closes a connection with a reset: the caller sees that a response without a
/// length is incomplete, and the system frees what it has buffered.
fn reset<S>(conn: http1::Connection<TokioIo<TcpStream>, S>)
where
    S: hyper::service::HttpService<Incoming, ResBody = Body>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let stream = conn.into_parts().io.into_inner();
    if let Err(err) = SockRef::from(&stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("event=linger_unset cause={err}");
    }
}
