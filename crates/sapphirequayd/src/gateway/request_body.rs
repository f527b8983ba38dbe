//! Bodies of requests, read whole and in segments, so that what is allocated for a body
//! is what counts in the memory of the host: a segment is neither grown nor copied.

use {
    super::{
        host_memory::{HostMemory, MemoryGuard},
        open_connection::{ArrivingBody, OpenConnection},
    },
    bytes::{Buf as _, Bytes, BytesMut},
    http::request,
    http_body_util::BodyExt as _,
    hyper::body::{Body, Frame, Incoming, SizeHint},
    quay_policy::{MemoryClass, MemoryHolder, Shortage},
    quay_types::AccountId,
    std::{
        collections::VecDeque,
        convert::Infallible,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Size of the first segment of a body without a declared length, in bytes.
const FIRST_SEGMENT_BYTES: usize = 4 << 10;

/// Size of the largest segment, in bytes.
const MAX_SEGMENT_BYTES: usize = 64 << 10;

/// Longest pause of a caller after which the rest of its refused body is no longer read
/// and dropped. A connection that is closed with unread data is reset, and the caller may
/// lose the refusal.
const DISCARD_PAUSE: Duration = Duration::from_secs(1);

/// Reserves memory of a host.
pub trait ReserveMemory {
    /// Reserves bytes.
    ///
    /// # Errors
    ///
    /// If there is no room, or none in a share.
    fn reserve_bytes(
        &self,
        class: MemoryClass,
        holder: Option<MemoryHolder>,
        bytes: usize,
    ) -> Result<MemoryGuard, Shortage>;
}

impl ReserveMemory for HostMemory {
    fn reserve_bytes(
        &self,
        class: MemoryClass,
        holder: Option<MemoryHolder>,
        bytes: usize,
    ) -> Result<MemoryGuard, Shortage> {
        self.reserve(class, holder, bytes as u64, |_| 0)
    }
}

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than the limit.
    TooLarge,
    /// There is no memory for it.
    NoMemory,
    /// The connection ended, or the transfer coding is invalid.
    Incomplete,
    /// The connection is to be ended, since its caller sends too slowly.
    TooSlow,
}

/// Who sends a body.
#[derive(Debug, Clone, Copy, Default)]
pub struct BodyCaller<'a> {
    /// Connection on which it arrives, if there is a budget.
    pub connection: Option<&'a OpenConnection>,
    /// Caller for which memory is held.
    pub holder: Option<MemoryHolder>,
    /// Longest time without a byte, if that is limited.
    pub pause: Option<Duration>,
}

impl<'a> BodyCaller<'a> {
    /// Sender of a request with an account.
    pub fn of(parts: &'a request::Parts, account: Option<AccountId>) -> Self {
        let connection: Option<&OpenConnection> = parts.extensions.get();
        let holder = connection.map(|connection| MemoryHolder {
            connection: connection.id(),
            account,
        });
        Self {
            connection,
            holder,
            pause: None,
        }
    }
}

/// Body of a request, in segments that count in the memory of the host until the last
/// clone is dropped.
#[derive(Debug, Clone, Default)]
pub struct RequestBody {
    segments: VecDeque<Bytes>,
    /// Bytes of all segments.
    len: usize,
}

impl RequestBody {
    /// The segments, in order.
    pub fn segments(&self) -> impl Iterator<Item = &Bytes> {
        self.segments.iter()
    }

    /// Appends the bytes of another body, without a copy.
    pub fn append(&mut self, other: Self) {
        self.len += other.len;
        self.segments.extend(other.segments);
    }

    /// Returns the body in one piece. It is copied if it has several segments, for which
    /// memory is reserved.
    ///
    /// # Errors
    ///
    /// [`BodyError::NoMemory`] if there is no room for the copy.
    pub fn into_bytes(mut self, memory: &impl ReserveMemory) -> Result<Bytes, BodyError> {
        if self.segments.len() <= 1 {
            return Ok(self.segments.pop_front().unwrap_or_default());
        }
        let reserved = memory.reserve_bytes(MemoryClass::Requests, None, self.len);
        let guard = reserved.map_err(|_| BodyError::NoMemory)?;
        let mut joined = BytesMut::with_capacity(self.len);
        for segment in self.segments {
            joined.extend_from_slice(&segment);
        }
        Ok(guard.attach(joined.freeze()))
    }
}

impl From<Bytes> for RequestBody {
    fn from(bytes: Bytes) -> Self {
        Self {
            len: bytes.len(),
            segments: if bytes.is_empty() {
                VecDeque::new()
            } else {
                [bytes].into()
            },
        }
    }
}

/// What is sent to an upstream.
impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let segment = self.segments.pop_front();
        self.len -= segment.as_ref().map_or(0, Bytes::len);
        Poll::Ready(segment.map(|it| Ok(Frame::data(it))))
    }

    fn is_end_stream(&self) -> bool {
        self.segments.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len as u64)
    }
}

/// Reads the complete body of a request of at most `limit` bytes. `caller` is who
/// sends it.
///
/// # Errors
///
/// See [`BodyError`]. What was read is dropped.
pub async fn read_request_body(
    memory: &impl ReserveMemory,
    body: &mut Incoming,
    limit: usize,
    caller: &BodyCaller<'_>,
) -> Result<RequestBody, BodyError> {
    let hint = body.size_hint();
    if hint.lower() > limit as u64 {
        return Err(BodyError::TooLarge);
    }
    let declared = hint.exact().and_then(|len| usize::try_from(len).ok());
    let mut reader = SegmentReader {
        memory,
        holder: caller.holder,
        declared,
        full: VecDeque::new(),
        full_len: 0,
        filling: None,
    };
    let pause = caller.pause.unwrap_or(Duration::MAX);
    let arriving = caller.connection.map(OpenConnection::begin_body);
    while let Some(frame) = next_frame(body, arriving.as_ref(), pause).await? {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if reader.len() + data.len() > limit {
            return Err(BodyError::TooLarge);
        }
        if let Some(arriving) = &arriving {
            arriving.record_read(data.len());
        }
        reader.push(data)?;
    }
    if let Some(arriving) = arriving {
        arriving.complete();
    }
    Ok(reader.finish())
}

/// Next frame of a body, at most `pause` later; `None` at its end.
async fn next_frame(
    body: &mut Incoming,
    arriving: Option<&ArrivingBody>,
    pause: Duration,
) -> Result<Option<Frame<Bytes>>, BodyError> {
    let ended = async {
        match arriving {
            Some(arriving) => arriving.ended().await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        biased;
        frame = body.frame() => frame.transpose().map_err(|_| BodyError::Incomplete),
        () = ended => Err(BodyError::TooSlow),
        () = sleep(pause) => Err(BodyError::TooSlow),
    }
}

/// How much of a refused body is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DiscardLimits {
    /// Bytes.
    pub bytes: u64,
    /// Time.
    pub time: Duration,
}

/// Reads and drops the rest of a refused body in the background.
pub fn discard(mut body: Incoming, caller: &BodyCaller<'_>, limits: DiscardLimits) {
    let arriving = caller.connection.map(OpenConnection::begin_body);
    spawn_local(timeout(limits.time, async move {
        let mut left = limits.bytes;
        while left > 0 {
            let next = next_frame(&mut body, arriving.as_ref(), DISCARD_PAUSE);
            let Ok(Some(frame)) = next.await else { return };
            let read = frame.data_ref().map_or(0, Bytes::len);
            left = left.saturating_sub(read as u64);
            if let Some(arriving) = &arriving {
                arriving.record_read(read);
            }
        }
    }));
}

/// Collects a body in segments.
struct SegmentReader<'a, M> {
    memory: &'a M,
    holder: Option<MemoryHolder>,
    /// Length of the body, if it is declared.
    declared: Option<usize>,
    /// Full segments.
    full: VecDeque<(BytesMut, MemoryGuard)>,
    /// Bytes of the full segments.
    full_len: usize,
    /// The segment that is being filled; its capacity is reserved.
    filling: Option<(BytesMut, MemoryGuard)>,
}

impl<M: ReserveMemory> SegmentReader<'_, M> {
    fn len(&self) -> usize {
        let filling = self.filling.as_ref();
        self.full_len + filling.map_or(0, |(segment, _)| segment.len())
    }

    fn push(&mut self, mut data: Bytes) -> Result<(), BodyError> {
        while !data.is_empty() {
            let (mut segment, guard) = match self.filling.take() {
                Some(filling) => filling,
                None => self.begin_segment(data.len())?,
            };
            let fits = data.len().min(segment.capacity() - segment.len());
            segment.extend_from_slice(&data[..fits]);
            data.advance(fits);
            if segment.len() == segment.capacity() {
                self.full_len += segment.len();
                self.full.push_back((segment, guard));
            } else {
                self.filling = Some((segment, guard));
            }
        }
        Ok(())
    }

    /// Reserves and allocates the next segment. `arrived` is what it is to take at once.
    fn begin_segment(&self, arrived: usize) -> Result<(BytesMut, MemoryGuard), BodyError> {
        let size = match self.declared {
            Some(declared) => declared - self.full_len,
            // As much again as there is, so that small bodies take little.
            None => self.full_len.max(arrived).max(FIRST_SEGMENT_BYTES),
        };
        let size = size.min(MAX_SEGMENT_BYTES);
        // A small body, or a whole one, finds room beside large ones that still arrive.
        let small = self.full_len == 0 && size <= arrived.max(FIRST_SEGMENT_BYTES);
        let class = if small {
            MemoryClass::Requests
        } else {
            MemoryClass::Uploads
        };
        let reserved = self.memory.reserve_bytes(class, self.holder, size);
        let guard = reserved.map_err(|_| BodyError::NoMemory)?;
        Ok((BytesMut::with_capacity(size), guard))
    }

    fn finish(mut self) -> RequestBody {
        let len = self.len();
        self.full.extend(self.filling);
        let segments = self.full.into_iter().map(|(segment, mut guard)| {
            guard.set_class(MemoryClass::Requests);
            guard.attach(segment.freeze())
        });
        RequestBody {
            segments: segments.collect(),
            len,
        }
    }
}
