//! Connection of an upstream that fails once too many bytes become no part of a body, and
//! what makes a response on it invalid.

use {
    bytes::Bytes,
    http::{Response, StatusCode, header},
    hyper::body::{Body, Frame, Incoming, SizeHint},
    std::{
        error::Error,
        fmt::{self, Display},
        io::{self, ErrorKind, IoSlice},
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        task::AbortHandle,
    },
};

/// Maximum size in bytes of what precedes the end of a response's head, including
/// informational responses, and of what separates two parts of its body.
const MAX_OVERHEAD_BYTES: usize = 256 << 10;

/// Number of bytes that may still arrive before the next part of a response. Clones refer
/// to the same connection.
#[derive(Debug, Clone, Default)]
pub struct OverheadLimit(Arc<Counters>);

#[derive(Debug)]
struct Counters {
    left: AtomicUsize,
    /// Bytes sent and received.
    transferred: AtomicU64,
    /// Whether bytes of the request wait until the connection takes them.
    is_sending: AtomicBool,
}

impl Default for Counters {
    fn default() -> Self {
        Self {
            left: AtomicUsize::new(MAX_OVERHEAD_BYTES),
            transferred: AtomicU64::default(),
            is_sending: AtomicBool::default(),
        }
    }
}

impl OverheadLimit {
    /// Records that a request begins, or that a part of a response was received.
    pub fn restart(&self) {
        self.0.left.store(MAX_OVERHEAD_BYTES, Ordering::Relaxed);
    }

    /// Number of bytes sent and received so far.
    pub fn transferred(&self) -> u64 {
        self.0.transferred.load(Ordering::Relaxed)
    }

    fn is_reached(&self) -> bool {
        self.0.left.load(Ordering::Relaxed) == 0
    }

    fn record_received(&self, bytes: usize) {
        let left = self.0.left.load(Ordering::Relaxed);
        self.0
            .left
            .store(left.saturating_sub(bytes), Ordering::Relaxed);
        self.record_transferred(bytes);
    }

    fn record_transferred(&self, bytes: usize) {
        self.0
            .transferred
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn is_sending(&self) -> bool {
        self.0.is_sending.load(Ordering::Relaxed)
    }

    fn record_sent(&self, written: &Poll<io::Result<usize>>) {
        self.0
            .is_sending
            .store(written.is_pending(), Ordering::Relaxed);
        if let Poll::Ready(Ok(bytes)) = written {
            self.record_transferred(*bytes);
        }
    }
}

/// Aborts the task that drives a connection when dropped, which closes the
/// connection.
#[derive(Debug)]
pub struct CloseOnDrop(pub AbortHandle);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

// ---------------------------------------------------------------------------
// Stream

/// Stream of an upstream that fails once its limit is reached.
#[derive(Debug)]
pub struct LimitedStream {
    stream: TcpStream,
    limit: OverheadLimit,
    /// Bytes that one read takes.
    max_read: usize,
}

impl LimitedStream {
    /// Creates a stream of which one read takes `max_read` bytes at most.
    pub const fn new(stream: TcpStream, limit: OverheadLimit, max_read: usize) -> Self {
        Self {
            stream,
            limit,
            max_read,
        }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.is_reached() {
            let text = "too many bytes without a part of a response";
            return Poll::Ready(Err(io::Error::new(ErrorKind::InvalidData, text)));
        }
        let filled = buf.filled().len();
        let polled = if buf.remaining() <= self.max_read {
            Pin::new(&mut self.stream).poll_read(cx, buf)
        } else {
            let mut part = ReadBuf::new(buf.initialize_unfilled_to(self.max_read));
            let polled = Pin::new(&mut self.stream).poll_read(cx, &mut part);
            let read = part.filled().len();
            buf.advance(read);
            polled
        };
        self.limit.record_received(buf.filled().len() - filled);
        polled
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.limit.record_sent(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.limit.record_sent(&written);
        written
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

// ---------------------------------------------------------------------------
// Body

/// Whether a response with this status ends a request: 101 goes on in another protocol,
/// and callers' clients know no status outside of 200 to 599.
pub fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Reason why the body of a response is incomplete.
#[derive(Debug)]
pub enum BodyFailed {
    /// The connection failed, or its bytes are no valid response.
    Connection(hyper::Error),
    /// A body that ends with its connection ended while the request was still sent. The
    /// upstream has not read the request, and may have reset the connection since.
    RequestUnsent,
}

impl Display for BodyFailed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(err) => err.fmt(f),
            Self::RequestUnsent => f.write_str("response ended while the request was sent"),
        }
    }
}

impl Error for BodyFailed {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Self::Connection(err) => err.source(),
            Self::RequestUnsent => None,
        }
    }
}

/// Body of a response on a [`LimitedStream`].
#[derive(Debug)]
pub struct LimitedBody {
    incoming: Incoming,
    limit: OverheadLimit,
    /// Whether the body ends with its connection.
    ends_with_connection: bool,
}

impl LimitedBody {
    /// Wraps the body of a response whose head has arrived.
    pub fn wrap(response: Response<Incoming>, limit: OverheadLimit) -> Response<Self> {
        limit.restart();
        let headers = response.headers();
        let framed = headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING);
        response.map(|incoming| Self {
            incoming,
            limit,
            ends_with_connection: !framed,
        })
    }
}

impl Body for LimitedBody {
    type Data = Bytes;
    type Error = BodyFailed;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFailed>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        match polled {
            Poll::Ready(Some(Ok(_))) => self.limit.restart(),
            Poll::Ready(None) if self.ends_with_connection && self.limit.is_sending() => {
                self.ends_with_connection = false;
                return Poll::Ready(Some(Err(BodyFailed::RequestUnsent)));
            }
            _ => {}
        }
        polled.map_err(BodyFailed::Connection)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
