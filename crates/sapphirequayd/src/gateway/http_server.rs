//! HTTP/1 server: accepts connections and serves their requests.

use {
    super::{host_memory::HostMemory, open_connection::OpenConnection},
    bytes::Bytes,
    http::{HeaderValue, Request, Response, Version, header},
    http_body_util::{BodyExt as _, Full, combinators::UnsyncBoxBody},
    hyper::{
        body::{Body as HttpBody, Frame, Incoming, SizeHint},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    socket2::SockRef,
    std::{
        cell::Cell,
        convert::Infallible,
        fmt,
        future::Future,
        io::{self, IoSlice},
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::{TcpListener, TcpStream},
        sync::{Notify, mpsc},
        task::{spawn_local, yield_now},
        time::{sleep, timeout},
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

/// Response body that receives its frames while they are made.
#[derive(Debug)]
pub struct ChannelBody(mpsc::Receiver<Result<Frame<Bytes>, BodyAborted>>);

impl ChannelBody {
    /// Creates a body of the frames that are sent.
    pub const fn new(frames: mpsc::Receiver<Result<Frame<Bytes>, BodyAborted>>) -> Self {
        Self(frames)
    }
}

impl HttpBody for ChannelBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        self.0.poll_recv(cx)
    }
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
    /// Budget in which the connections count. Each request has its [`OpenConnection`] as
    /// an extension if there is one.
    pub memory: HostMemory,
    /// Bytes written after an aborted body, in place of the size of its next chunk, for
    /// clients that take a body without its last chunk for complete.
    pub abort_mark: &'static [u8],
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            head_bytes: Rc::new(Cell::new(32 << 10)),
            idle: Rc::new(Cell::new(Duration::from_secs(30))),
            closing: Rc::default(),
            memory: HostMemory::default(),
            abort_mark: &[],
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
    /// Number of listeners that accept connections.
    listening: Cell<usize>,
    /// Notified when a connection or a listener is closed.
    closed_notify: Notify,
    /// Whether the listeners are to be closed.
    finishing: Cell<bool>,
    finish_notify: Notify,
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
        self.closed_while(|| self.open() > 0).await;
    }

    /// Closes the listeners, and waits until the connections are closed that had been made
    /// until then.
    pub async fn finish(&self) {
        self.finishing.set(true);
        self.finish_notify.notify_waiters();
        self.closed_while(|| self.listening.get() + self.open() > 0)
            .await;
    }

    async fn closed_while(&self, waits: impl Fn() -> bool) {
        while waits() {
            let notified = self.closed_notify.notified();
            if waits() {
                notified.await;
            }
        }
    }

    /// Waits until the listeners are to be closed.
    async fn finishes(&self) {
        let notified = self.finish_notify.notified();
        if !self.finishing.get() {
            notified.await;
        }
    }

    /// Number of open connections.
    pub const fn open(&self) -> usize {
        self.open.get()
    }

    /// Waits until the shutdown begins.
    async fn begins(&self) {
        let notified = self.begin_notify.notified();
        if !self.has_begun() {
            notified.await;
        }
    }
}

/// Counts a listener until it is dropped.
struct CountedListener<'a>(&'a ConnectionDrain);

impl<'a> CountedListener<'a> {
    fn new(drain: &'a ConnectionDrain) -> Self {
        drain.listening.set(drain.listening.get() + 1);
        Self(drain)
    }
}

impl Drop for CountedListener<'_> {
    fn drop(&mut self) {
        self.0.listening.set(self.0.listening.get() - 1);
        self.0.closed_notify.notify_waiters();
    }
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
struct CountedConnection(Rc<ConnectionDrain>);

impl CountedConnection {
    fn new(drain: &Rc<ConnectionDrain>) -> Self {
        drain.open.set(drain.open.get() + 1);
        Self(Rc::clone(drain))
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.closed_notify.notify_waiters();
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

/// Time for which a connection that has brought no request yet stays open when a shutdown
/// begins: its caller may have sent one. Most come within a round trip.
const FIRST_HEAD_TIME: Duration = Duration::from_millis(300);

/// Delay after `accept` failed, for example because no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time in which the mark of an aborted body is written.
const ABORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time in which the request on a connection that is ended gets its answer.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Accepts connections and serves their requests until the task is dropped, or the
/// shutdown closes the listener.
pub async fn serve<F, R>(listener: TcpListener, handler: F, limits: &ServerLimits)
where
    F: Fn(Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Result<Response<Body>, Infallible>> + 'static,
{
    let _listening = CountedListener::new(&limits.closing);
    let mut receive_buffer = None;
    loop {
        // Accepted sockets have the size that the listener has, from the first byte on.
        let wanted = limits.memory.receive_buffer();
        if let Some(size) = wanted.filter(|_| wanted != receive_buffer) {
            receive_buffer = wanted;
            if let Err(err) = SockRef::from(&listener).set_recv_buffer_size(size) {
                log::debug!("event=receive_buffer_unset cause={err}");
            }
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = limits.closing.finishes() => break,
        };
        match accepted {
            Ok((stream, _)) => start_connection(stream, &handler, limits).await,
            Err(err) => {
                log::warn!("event=accept_failed cause={err:?}");
                limits.memory.free_descriptor();
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // The system resets the connections that a closed listener has not accepted.
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream.set_nonblocking(true).map(|()| stream);
        match stream.and_then(TcpStream::from_std) {
            Ok(stream) => start_connection(stream, &handler, limits).await,
            Err(err) => log::warn!("event=accept_failed cause={err:?}"),
        }
    }
}

/// Starts the task of a connection.
async fn start_connection<F, R>(stream: TcpStream, handler: &F, limits: &ServerLimits)
where
    F: Fn(Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Result<Response<Body>, Infallible>> + 'static,
{
    let Ok((open, replaces)) = limits.memory.connect() else {
        return;
    };
    let counted = CountedConnection::new(&limits.closing);
    if replaces {
        // The connections that are ended close before the next one is accepted.
        yield_now().await;
    }
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
    let stream = CallerStream {
        stream,
        open: open.clone(),
    };
    let served = open.clone();
    let latest = Rc::new(Cell::new(None));
    let version = Rc::clone(&latest);
    let drain = Rc::clone(&limits.closing);
    let service = service_fn(move |mut req: Request<Incoming>| {
        version.set(Some(req.version()));
        let drain = Rc::clone(&drain);
        let open = served.clone();
        if let Some(open) = &open {
            open.begin_request(request_len(&req));
            req.extensions_mut().insert(open.clone());
        }
        let answered = handler(req);
        Box::pin(async move {
            let Ok(mut response) = answered.await;
            if drain.has_begun() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response.map(|body| ServedBody { body, open }))
        })
    });
    let conn = builder.serve_connection(TokioIo::new(stream), service);
    let mark = limits.abort_mark;
    spawn_local(drive_connection(conn, counted, open, (latest, last), mark));
}

/// Drives one connection until it is closed, or ended for want of memory. `latest` is the
/// version of the latest request, if there was one: responses of HTTP/1.0 have no chunks,
/// and one without a length would look complete when an aborted connection is closed;
/// `last` tells whether the connection closes after one response anyway.
async fn drive_connection<S>(
    mut conn: http1::Connection<TokioIo<CallerStream>, S>,
    counted: CountedConnection,
    open: Option<OpenConnection>,
    (latest, last): (Rc<Cell<Option<Version>>>, bool),
    abort_mark: &[u8],
) where
    S: hyper::service::HttpService<Incoming, ResBody = ServedBody>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut shutting_down = last;
    let shutdown = async {
        counted.0.begins().await;
        if latest.get().is_none() {
            sleep(FIRST_HEAD_TIME).await;
        }
    };
    let ended_early = async {
        match &open {
            Some(open) => open.ended().await,
            None => std::future::pending().await,
        }
    };
    tokio::pin!(shutdown, ended_early);
    loop {
        tokio::select! {
            // A request that has arrived is read before an idle connection is closed.
            biased;
            ended = Pin::new(&mut conn) => {
                if let Err(err) = ended {
                    log::debug!("event=caller_connection_ended cause={err}");
                    if latest.get() == Some(Version::HTTP_10) {
                        reset(conn);
                    } else if err.is_user() && !abort_mark.is_empty() {
                        let stream = conn.into_parts().io.into_inner().stream;
                        let _ = timeout(ABORT_TIMEOUT, write_all(&stream, abort_mark)).await;
                    }
                }
                break;
            }
            () = &mut shutdown, if !shutting_down => {
                shutting_down = true;
                close_after_response(&mut conn);
            }
            () = &mut ended_early => {
                if open.as_ref().is_some_and(OpenConnection::answers_before_end) {
                    close_after_response(&mut conn);
                    let _ = timeout(LAST_ANSWER_TIMEOUT, Pin::new(&mut conn)).await;
                } else {
                    reset(conn);
                }
                break;
            }
        }
    }
    if let Some(open) = &open {
        open.close();
    }
}

async fn write_all(stream: &TcpStream, mut data: &[u8]) -> io::Result<()> {
    while !data.is_empty() {
        stream.writable().await?;
        match stream.try_write(data) {
            Ok(len) => data = &data[len..],
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
            Err(err) => return Err(err),
        }
    }
    Ok(())
}

/// Closes a connection once its request in progress is answered.
fn close_after_response<S>(conn: &mut http1::Connection<TokioIo<CallerStream>, S>)
where
    S: hyper::service::HttpService<Incoming, ResBody = ServedBody>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    Pin::new(conn).graceful_shutdown();
}

/// Closes a connection with a reset: the caller sees that a response without a
/// length is incomplete, and the system frees what it has buffered.
fn reset<S>(conn: http1::Connection<TokioIo<CallerStream>, S>)
where
    S: hyper::service::HttpService<Incoming, ResBody = ServedBody>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let stream = conn.into_parts().io.into_inner().stream;
    if let Err(err) = SockRef::from(&stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("event=linger_unset cause={err}");
    }
}

// ---------------------------------------------------------------------------
// Progress of callers

/// Length of a request in bytes, at least; `None` if its body is chunked.
fn request_len(req: &Request<Incoming>) -> Option<usize> {
    let body = usize::try_from(req.body().size_hint().exact()?).ok()?;
    let fields = req.headers().iter();
    // Each with a colon, a space and the end of its line.
    let fields: usize = fields
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    let target = req.uri().path_and_query().map_or(0, |it| it.as_str().len());
    Some(req.method().as_str().len() + target + fields + body)
}

/// Stream of a caller that records what is read.
#[derive(Debug)]
struct CallerStream {
    stream: TcpStream,
    open: Option<OpenConnection>,
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Some(open) = &self.open {
            open.record_read(buf.filled().len() - filled);
        }
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Body of a response, with whose end the request ends.
struct ServedBody {
    body: Body,
    open: Option<OpenConnection>,
}

impl HttpBody for ServedBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ServedBody {
    fn drop(&mut self) {
        if let Some(open) = &self.open {
            open.end_request();
        }
    }
}
