//! Calls: requests and replies of two hosts on one long-lived QUIC stream.
//!
//! A call stream begins with [`CALL_STREAM_PREFIX`], followed by frames in both
//! directions: the length of the body, the id of the call, and the body. The reply
//! carries the id of its request. All frames that are queued are sent in one write.
//! A reply longer than [`MAX_INLINE_BYTES`] is sent on a stream of its own, and a
//! request of that length as its own exchange, so that they do not delay others.

use {
    crate::{
        Encoded, Frame, FramePermit, LinkError,
        frame::{MAX_FRAME_BYTES, encoded_len},
        stop::Serving,
    },
    bytes::{Bytes, BytesMut},
    quinn::{Connection, ReadError, RecvStream, SendStream, VarInt},
    serde::Serialize,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::{
        sync::{Notify, Semaphore, SemaphorePermit, mpsc, oneshot},
        task::JoinSet,
    },
};

/// First bytes of a call stream; no frame of another stream has this length.
pub(crate) const CALL_STREAM_PREFIX: [u8; 4] = [0xff; 4];

/// Maximum size of a body on the call stream: about 4 ms of a 30 Mbit/s link.
const MAX_INLINE_BYTES: usize = 16 << 10;

/// Size of a frame's header: length and id, each a little-endian `u32`.
const HEADER_BYTES: usize = 8;

/// Length in the header of a frame that reports that a call gets no reply.
const NO_REPLY: u32 = u32::MAX;

/// Maximum number of calls to one peer that wait for their replies; further ones
/// wait within their time-outs.
const MAX_PENDING: usize = 256;

/// Maximum number of calls to one peer whose requests are sent on streams of their own, as
/// of its replies; further ones wait within their time-outs. Together they would fill the
/// peer's receive buffer, and their loss delays all calls.
const MAX_LARGE_CALLS: usize = 8;

/// Number of queued bytes from which no further request is queued or read.
const MAX_QUEUED_BYTES: usize = 1 << 20;

/// Maximum number of bytes in one read of a call stream.
const MAX_READ_BYTES: usize = 64 << 10;

/// QUIC error code of a connection whose call stream failed.
const CALLS_FAILED: VarInt = VarInt::from_u32(2);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

// ---------------------------------------------------------------------------
// Frames to send

/// Frames that wait to be sent on a call stream.
#[derive(Debug, Default)]
struct Outbox {
    state: Mutex<Queued>,
    /// Notified when frames are queued or the stream ends.
    queued: Notify,
    /// Notified when the queue was taken.
    taken: Notify,
}

/// Reply on a stream of its own.
#[derive(Debug)]
struct LargeReply {
    /// Id of the call.
    id: u32,
    body: Encoded,
    /// Memory of the reply, until it is sent.
    _memory: Option<FramePermit>,
}

#[derive(Debug, Default)]
struct Queued {
    bytes: Vec<u8>,
    /// Replies that are sent on streams of their own, with the ids of their calls.
    large: Vec<LargeReply>,
    /// Number of the peer's calls that are not answered yet.
    unanswered: usize,
    /// Whether the stream ends once all calls are answered and the queue is sent.
    finished: bool,
    /// Whether the stream has failed.
    closed: bool,
}

impl Outbox {
    /// Queues a reply. Returns it instead if it is too long for the stream.
    fn push_reply(&self, id: u32, reply: &impl Serialize) -> Result<Option<Encoded>, LinkError> {
        if encoded_len(reply)? > MAX_INLINE_BYTES {
            return Encoded::of(reply).map(Some);
        }
        self.push_frame(id, |bytes| {
            let written = postcard::to_io(reply, bytes);
            written.map(drop).map_err(LinkError::Decode)
        })?;
        Ok(None)
    }

    /// Queues a request. Returns `false` if it is too long for the stream.
    fn push_request(&self, id: u32, req: &Encoded) -> Result<bool, LinkError> {
        if req.len() > MAX_INLINE_BYTES {
            return Ok(false);
        }
        self.push_frame(id, |bytes| {
            req.chunks()
                .iter()
                .for_each(|chunk| bytes.extend_from_slice(chunk));
            Ok(())
        })?;
        Ok(true)
    }

    /// Queues a frame whose body `write` appends.
    fn push_frame(
        &self,
        id: u32,
        write: impl FnOnce(&mut Vec<u8>) -> Result<(), LinkError>,
    ) -> Result<(), LinkError> {
        let mut queued = lock(&self.state);
        if queued.closed {
            return Err(LinkError::Broken("call stream closed".into()));
        }
        let start = queued.bytes.len();
        let body = start + HEADER_BYTES;
        queued.bytes.resize(body, 0);
        if let Err(err) = write(&mut queued.bytes) {
            queued.bytes.truncate(start);
            return Err(err);
        }
        let len = u32::try_from(queued.bytes.len() - body).unwrap_or(NO_REPLY);
        write_header(&mut queued.bytes[start..body], len, id);
        drop(queued);
        self.queued.notify_one();
        Ok(())
    }

    /// Records that a call of the peer has ended, and queues the report that it gets
    /// no reply unless it was answered.
    fn end_call(&self, id: u32, answered: bool) {
        let mut queued = lock(&self.state);
        if queued.closed {
            return;
        }
        queued.unanswered -= 1;
        if !answered {
            let mut header = [0; HEADER_BYTES];
            write_header(&mut header, NO_REPLY, id);
            queued.bytes.extend_from_slice(&header);
        }
        let wakes = !answered || queued.finished;
        drop(queued);
        if wakes {
            self.queued.notify_one();
        }
    }

    fn push_large(&self, reply: LargeReply) {
        lock(&self.state).large.push(reply);
        self.queued.notify_one();
    }

    fn is_full(&self) -> bool {
        lock(&self.state).bytes.len() >= MAX_QUEUED_BYTES
    }

    /// Waits until the queue has room.
    async fn room(&self) {
        while self.is_full() && !lock(&self.state).closed {
            self.taken.notified().await;
        }
    }

    /// Ends the stream once all calls are answered and the queue is sent.
    fn finish(&self) {
        lock(&self.state).finished = true;
        self.queued.notify_one();
    }

    /// Discards the queue, since the stream has failed.
    fn close(&self) {
        *lock(&self.state) = Queued {
            closed: true,
            ..Queued::default()
        };
        self.queued.notify_one();
        self.taken.notify_one();
    }

    /// Writes queued frames, all in one write, until the stream ends.
    async fn write(&self, mut send: SendStream, connection: &Connection) -> Result<(), LinkError> {
        let mut large_sends = JoinSet::new();
        loop {
            let (bytes, large, ends) = {
                let mut queued = lock(&self.state);
                if queued.closed {
                    return Ok(());
                }
                let bytes = std::mem::take(&mut queued.bytes);
                let large = std::mem::take(&mut queued.large);
                let ends = queued.finished && queued.unanswered == 0;
                (bytes, large, ends)
            };
            for reply in large {
                large_sends.spawn(send_large(connection.clone(), reply));
            }
            while large_sends.try_join_next().is_some() {}
            if !bytes.is_empty() {
                self.taken.notify_one();
                let written = send.write_chunk(Bytes::from(bytes)).await;
                written.map_err(|err| broken(&err))?;
            } else if ends {
                // The end of this stream fails the calls that have no reply yet.
                while large_sends.join_next().await.is_some() {}
                let _ = send.finish();
                let _ = send.stopped().await;
                return Ok(());
            } else {
                self.queued.notified().await;
            }
        }
    }
}

fn write_header(header: &mut [u8], len: u32, id: u32) {
    header[..4].copy_from_slice(&len.to_le_bytes());
    header[4..].copy_from_slice(&id.to_le_bytes());
}

fn broken(err: &dyn std::fmt::Display) -> LinkError {
    LinkError::Broken(err.to_string().into())
}

/// Sends a long reply on a stream of its own.
async fn send_large(connection: Connection, reply: LargeReply) {
    let sent = async {
        let mut send = connection.open_uni().await.map_err(|err| broken(&err))?;
        let mut chunks = vec![Bytes::copy_from_slice(&reply.id.to_le_bytes())];
        chunks.extend_from_slice(reply.body.chunks());
        send.write_all_chunks(&mut chunks)
            .await
            .map_err(|err| broken(&err))?;
        let _ = send.finish();
        let _ = send.stopped().await;
        Ok::<(), LinkError>(())
    };
    if let Err(err) = sent.await {
        log::debug!("event=link_reply_unsent cause={err:?}");
    }
}

// ---------------------------------------------------------------------------
// Received frames

/// Splits the bytes of a call stream into frames.
#[derive(Debug, Default)]
struct FrameSplitter {
    /// Start of a frame that is not complete yet.
    partial: BytesMut,
}

impl FrameSplitter {
    /// Adds bytes and passes each complete frame on: the id, and the body or `None`
    /// for a call that gets no reply.
    fn push(
        &mut self,
        mut bytes: Bytes,
        mut each: impl FnMut(u32, Option<Bytes>),
    ) -> Result<(), LinkError> {
        while !bytes.is_empty() {
            if self.partial.is_empty()
                && let Some(len) = frame_len(&bytes)?
                && len <= bytes.len()
            {
                emit(&bytes.split_to(len), &mut each);
                continue;
            }
            let wanted = frame_len(&self.partial)?.unwrap_or(HEADER_BYTES);
            let missing = wanted - self.partial.len();
            self.partial.reserve(missing);
            let taken = bytes.split_to(missing.min(bytes.len()));
            self.partial.extend_from_slice(&taken);
            if frame_len(&self.partial)? == Some(self.partial.len()) {
                emit(&std::mem::take(&mut self.partial).freeze(), &mut each);
            }
        }
        Ok(())
    }
}

/// Length of the frame at the start of `bytes` with its header, if the header is
/// complete.
fn frame_len(bytes: &[u8]) -> Result<Option<usize>, LinkError> {
    let Some((len, _)) = bytes.split_first_chunk::<4>() else {
        return Ok(None);
    };
    if bytes.len() < HEADER_BYTES {
        return Ok(None);
    }
    match u32::from_le_bytes(*len) {
        NO_REPLY => Ok(Some(HEADER_BYTES)),
        len if len as usize > MAX_INLINE_BYTES => {
            let bytes = len as usize;
            Err(LinkError::TooLarge { bytes })
        }
        len => Ok(Some(HEADER_BYTES + len as usize)),
    }
}

fn emit(frame: &Bytes, each: &mut impl FnMut(u32, Option<Bytes>)) {
    let id = frame[4..HEADER_BYTES].first_chunk().copied();
    let id = u32::from_le_bytes(id.unwrap_or_default());
    let answered = frame[..4] != NO_REPLY.to_le_bytes();
    each(id, answered.then(|| frame.slice(HEADER_BYTES..)));
}

// ---------------------------------------------------------------------------
// Outgoing calls

/// Call stream to a peer.
#[derive(Debug)]
pub(crate) struct CallStream {
    outbox: Outbox,
    pending: Mutex<Pending>,
    /// Permits for calls that wait for their replies.
    room: Semaphore,
    /// Permits for calls whose requests are too long for the stream.
    large: Semaphore,
}

#[derive(Debug, Default)]
struct Pending {
    last_id: u32,
    replies: HashMap<u32, oneshot::Sender<Reply>>,
    closed: bool,
}

/// Reply of a peer, or why there is none.
type Reply = Result<Frame, LinkError>;

impl CallStream {
    /// Opens the call stream of a connection.
    pub(crate) async fn open(connection: &Connection) -> Result<Arc<Self>, LinkError> {
        let (send, recv) = connection
            .open_bi()
            .await
            .map_err(|err| LinkError::Connect(err.to_string().into()))?;
        let stream = Arc::new(Self {
            outbox: Outbox::default(),
            pending: Mutex::default(),
            room: Semaphore::new(MAX_PENDING),
            large: Semaphore::new(MAX_LARGE_CALLS),
        });
        lock(&stream.outbox.state).bytes = CALL_STREAM_PREFIX.to_vec();
        tokio::spawn(Arc::clone(&stream).run(connection.clone(), send, recv));
        Ok(stream)
    }

    /// Whether the stream takes no further calls.
    pub(crate) fn is_closed(&self) -> bool {
        lock(&self.pending).closed
    }

    /// Takes no further calls and ends the stream after the pending ones.
    pub(crate) fn retire(&self) {
        lock(&self.pending).closed = true;
        self.outbox.finish();
    }

    /// Sends a request and waits for its reply. Returns `None` if the request is too
    /// long for the stream; nothing was sent then.
    pub(crate) async fn call(&self, req: &Encoded) -> Result<Option<Frame>, LinkError> {
        let Ok(_room) = self.room.acquire().await else {
            return Err(LinkError::Stopped);
        };
        if self.outbox.is_full() {
            return Err(LinkError::Connect("too many bytes are queued".into()));
        }
        let (call, reply) = PendingCall::begin(self)?;
        if !self.outbox.push_request(call.id, req)? {
            return Ok(None);
        }
        let reply = reply.await.map_err(|_| LinkError::Finished)?;
        reply.map(Some)
    }

    /// Waits until a request may be sent that is too long for the stream; held until its
    /// reply has arrived.
    pub(crate) async fn large_call(&self) -> Result<SemaphorePermit<'_>, LinkError> {
        let permit = self.large.acquire().await;
        permit.map_err(|_| LinkError::Stopped)
    }

    /// Passes a reply to its caller; the caller may have given up.
    fn answer(&self, id: u32, reply: Reply) {
        let caller = lock(&self.pending).replies.remove(&id);
        if let Some(caller) = caller {
            let _ = caller.send(reply);
        }
    }

    /// Transfers frames until the stream ends, and fails the calls that are pending
    /// then.
    async fn run(self: Arc<Self>, connection: Connection, send: SendStream, recv: RecvStream) {
        let writer = tokio::spawn({
            let (stream, connection) = (Arc::clone(&self), connection.clone());
            async move {
                if let Err(err) = stream.outbox.write(send, &connection).await {
                    stream.fail(&err);
                    connection.close(CALLS_FAILED, b"call stream");
                }
            }
        });
        let large = tokio::spawn(Arc::clone(&self).read_large(connection.clone()));
        let ended = self.read(recv).await;
        self.fail(&ended);
        if !matches!(ended, LinkError::Finished) {
            // A second call stream of the connection would use the same ids.
            connection.close(CALLS_FAILED, b"call stream");
        }
        writer.abort();
        large.abort();
    }

    /// Reads replies until the stream ends. Returns why it ended.
    async fn read(&self, mut recv: RecvStream) -> LinkError {
        let mut frames = FrameSplitter::default();
        loop {
            let bytes = match recv.read_chunk(MAX_READ_BYTES, true).await {
                Ok(Some(chunk)) => chunk.bytes,
                Ok(None) => return LinkError::Finished,
                Err(ReadError::ConnectionLost(cause)) => return broken(&cause),
                Err(err) => return broken(&err),
            };
            let split = frames.push(bytes, |id, body| {
                self.answer(id, body.map(Frame).ok_or(LinkError::Finished));
            });
            if let Err(err) = split {
                return err;
            }
        }
    }

    /// Reads replies that arrive on streams of their own.
    async fn read_large(self: Arc<Self>, connection: Connection) {
        while let Ok(mut recv) = connection.accept_uni().await {
            let stream = Arc::clone(&self);
            tokio::spawn(async move {
                let mut id = [0; 4];
                if recv.read_exact(&mut id).await.is_err() {
                    return;
                }
                let body = recv.read_to_end(MAX_FRAME_BYTES).await;
                let reply = body.map(|body| Frame(body.into()));
                stream.answer(u32::from_le_bytes(id), reply.map_err(|err| broken(&err)));
            });
        }
    }

    /// Fails all pending calls.
    fn fail(&self, cause: &LinkError) {
        self.outbox.close();
        let replies = {
            let mut pending = lock(&self.pending);
            pending.closed = true;
            std::mem::take(&mut pending.replies)
        };
        for caller in replies.into_values() {
            let _ = caller.send(Err(broken(cause)));
        }
    }
}

/// Call that waits for its reply; forgotten when dropped.
struct PendingCall<'a> {
    stream: &'a CallStream,
    id: u32,
}

impl<'a> PendingCall<'a> {
    /// Registers a call.
    fn begin(stream: &'a CallStream) -> Result<(Self, oneshot::Receiver<Reply>), LinkError> {
        let (caller, reply) = oneshot::channel();
        let mut pending = lock(&stream.pending);
        if pending.closed {
            return Err(LinkError::Connect("call stream closed".into()));
        }
        // An id is in use again only after four billion calls.
        pending.last_id = pending.last_id.wrapping_add(1);
        let id = pending.last_id;
        pending.replies.insert(id, caller);
        Ok((Self { stream, id }, reply))
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        lock(&self.stream.pending).replies.remove(&self.id);
    }
}

// ---------------------------------------------------------------------------
// Incoming calls

/// Call of a peer. The peer is told if it is dropped without a reply.
#[derive(Debug)]
pub struct IncomingCall {
    /// Address of the peer.
    pub addr: SocketAddr,
    /// The request.
    pub request: Frame,
    id: u32,
    outbox: Arc<Outbox>,
    answered: bool,
}

impl IncomingCall {
    /// Queues the reply.
    ///
    /// # Errors
    ///
    /// [`LinkError::TooLarge`] if the reply exceeds
    /// [`MAX_FRAME_BYTES`], [`LinkError::Broken`] if
    /// the stream has ended.
    pub fn reply(self, reply: &impl Serialize) -> Result<(), LinkError> {
        self.reply_holding(reply, None)
    }

    /// Queues the reply. `memory` is held until it is sent.
    ///
    /// # Errors
    ///
    /// As [`IncomingCall::reply`].
    pub fn reply_holding(
        mut self,
        reply: &impl Serialize,
        memory: Option<FramePermit>,
    ) -> Result<(), LinkError> {
        let large = self.outbox.push_reply(self.id, reply)?;
        if let Some(body) = large {
            let bytes = body.len();
            if bytes > MAX_FRAME_BYTES {
                return Err(LinkError::TooLarge { bytes });
            }
            self.outbox.push_large(LargeReply {
                id: self.id,
                body,
                _memory: memory,
            });
        }
        self.answered = true;
        Ok(())
    }
}

impl Drop for IncomingCall {
    fn drop(&mut self) {
        self.outbox.end_call(self.id, self.answered);
    }
}

/// Passes the calls of a stream on until it ends or the endpoint stops, and returns once
/// the peer has all replies. Reads no further ones while `calls` or the queue of replies
/// is full.
pub(crate) async fn serve_calls(
    connection: Connection,
    send: SendStream,
    mut recv: RecvStream,
    (calls, mut serving): (mpsc::Sender<IncomingCall>, Serving),
) {
    let addr = connection.remote_address();
    let outbox = Arc::new(Outbox::default());
    let writer = tokio::spawn({
        let (outbox, connection) = (Arc::clone(&outbox), connection.clone());
        async move {
            if outbox.write(send, &connection).await.is_err() {
                outbox.close();
            }
        }
    });
    let mut frames = FrameSplitter::default();
    let mut received = Vec::new();
    loop {
        let chunk = tokio::select! {
            chunk = recv.read_chunk(MAX_READ_BYTES, true) => chunk,
            () = serving.stopped() => break,
        };
        let Ok(Some(chunk)) = chunk else { break };
        let split = frames.push(chunk.bytes, |id, body| {
            received.extend(body.map(|body| (id, body)));
        });
        if let Err(err) = split {
            log::warn!("event=link_calls_unread peer={addr} cause={err:?}");
            connection.close(CALLS_FAILED, b"call stream");
            break;
        }
        for (id, body) in received.drain(..) {
            outbox.room().await;
            lock(&outbox.state).unanswered += 1;
            let call = IncomingCall {
                addr,
                request: Frame(body),
                id,
                outbox: Arc::clone(&outbox),
                answered: false,
            };
            if calls.send(call).await.is_err() {
                return;
            }
        }
    }
    outbox.finish();
    let _ = writer.await;
}
