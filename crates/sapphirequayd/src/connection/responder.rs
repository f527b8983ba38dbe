//! Response of a request, written by the thread that serves it.

use {
    crate::gateway::{Body, BodyAborted, ChannelBody, HostMemory, MemoryGuard, full},
    bytes::Bytes,
    http::{HeaderName, HeaderValue, Response, StatusCode},
    http_body_util::BodyExt as _,
    hyper::body::Frame,
    quay_policy::{MemoryClass, MemoryHolder},
    std::{io, sync::Arc, time::Duration},
    tokio::{
        runtime::Handle,
        sync::{Notify, mpsc, oneshot},
        time::{sleep, timeout},
    },
};

/// Time for which the end of a broken response waits for the caller to take the rest.
const LAST_FRAME_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which it is looked whether the caller has taken the rest.
const TAKEN_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Copies of a response's text that its call makes.
const TEXT_COPIES: usize = 4;

/// Step in which copies are counted; fewer bytes are not.
const SMALL_BYTES: usize = 64 << 10;

/// What a responder needs of the server.
#[derive(Debug, Clone)]
pub struct ResponderContext {
    /// Runtime of the server.
    pub runtime: Handle,
    /// Budget in which frames count until the caller has taken them.
    pub memory: HostMemory,
    /// Caller for which they count.
    pub holder: Option<MemoryHolder>,
    /// Time after which a caller that reads nothing is given up.
    pub send_timeout: Duration,
}

/// Writes the response of one request. It is either complete, or streamed and then ended
/// or aborted. Dropping it before the end aborts the response.
#[derive(Debug)]
pub struct Responder {
    cx: ResponderContext,
    /// Takes the head, until it is sent.
    head: Option<oneshot::Sender<Response<Body>>>,
    /// Takes the frames of a streamed body.
    frames: Option<mpsc::Sender<Result<Frame<Bytes>, BodyAborted>>>,
    /// Every frame that was not taken holds a clone.
    taken: Arc<Notify>,
    /// Memory of what is kept of the response besides.
    held: MemoryGuard,
}

impl Responder {
    /// Creates a responder and the end that waits for the response.
    pub fn new(cx: ResponderContext) -> (Self, oneshot::Receiver<Response<Body>>) {
        let (tx, rx) = oneshot::channel();
        let responder = Self {
            held: cx.memory.guard(MemoryClass::Responses, cx.holder),
            cx,
            head: Some(tx),
            frames: None,
            taken: Arc::default(),
        };
        (responder, rx)
    }

    /// Counts the memory of a response of which `bytes` bytes are kept until its end, as
    /// copies for the caller, for a resend and for the ledger. Returns `false`, without a
    /// change, if there is no room.
    pub fn hold_text(&mut self, bytes: usize) -> bool {
        let counted = match bytes * TEXT_COPIES {
            0..SMALL_BYTES => 0,
            copies => copies.next_multiple_of(SMALL_BYTES),
        };
        let resized = self.cx.memory.resize(&mut self.held, counted as u64, |_| 0);
        resized.is_ok()
    }

    /// Whether the head was sent.
    pub const fn has_begun(&self) -> bool {
        self.head.is_none()
    }

    /// Sends a complete response.
    ///
    /// # Errors
    ///
    /// If the caller is gone, or a response was begun.
    pub fn respond(
        &mut self,
        status: u16,
        headers: &[(HeaderName, HeaderValue)],
        body: impl Into<Bytes>,
    ) -> io::Result<()> {
        let body = self.hold(body.into());
        self.send_head(status, headers, full(body))
    }

    /// Sends the head of a response whose body is streamed.
    ///
    /// # Errors
    ///
    /// If the caller is gone, or a response was begun.
    pub fn begin(&mut self, headers: &[(HeaderName, HeaderValue)]) -> io::Result<()> {
        let (tx, rx) = mpsc::channel(1);
        self.send_head(200, headers, ChannelBody::new(rx).boxed_unsync())?;
        self.frames = Some(tx);
        Ok(())
    }

    fn send_head(
        &mut self,
        status: u16,
        headers: &[(HeaderName, HeaderValue)],
        body: Body,
    ) -> io::Result<()> {
        let Some(head) = self.head.take() else {
            return Err(io::Error::other("a response was begun already"));
        };
        let mut response = Response::new(body);
        *response.status_mut() =
            StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        for (name, value) in headers {
            response.headers_mut().insert(name.clone(), value.clone());
        }
        head.send(response).map_err(|_| gone())
    }

    /// Writes a part of a streamed body, once the caller has taken the one before.
    ///
    /// # Errors
    ///
    /// If the caller is gone or reads nothing.
    pub fn write(&mut self, data: impl Into<Bytes>) -> io::Result<()> {
        let data = self.hold(data.into());
        let Some(frames) = &self.frames else {
            return Err(io::Error::other("no response was begun"));
        };
        let limit = self.cx.send_timeout;
        let sent = async { timeout(limit, frames.send(Ok(Frame::data(data)))).await };
        match self.cx.runtime.block_on(sent) {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(gone()),
            Err(elapsed) => {
                self.frames = None;
                Err(elapsed.into())
            }
        }
    }

    /// Ends a streamed body.
    pub fn finish(&mut self) {
        self.frames = None;
    }

    /// Aborts a streamed body, once the caller has taken what was written.
    ///
    /// # Errors
    ///
    /// If the caller is gone or reads nothing.
    pub fn abort(&mut self, cause: &'static str) -> io::Result<()> {
        let Some(frames) = self.frames.take() else {
            return Ok(());
        };
        let last = async {
            // What the connection has not written is lost with it.
            while Arc::strong_count(&self.taken) > 1 {
                sleep(TAKEN_CHECK_INTERVAL).await;
            }
            frames.send(Err(BodyAborted(cause))).await
        };
        let sent = async { timeout(LAST_FRAME_TIMEOUT, last).await };
        match self.cx.runtime.block_on(sent) {
            Ok(sent) => sent.map_err(|_| gone()),
            Err(elapsed) => Err(elapsed.into()),
        }
    }

    fn hold(&self, data: Bytes) -> Bytes {
        self.cx.memory.hold_frame(self.cx.holder, data, &self.taken)
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        if self.frames.is_some() {
            let _ = self.abort("the request was given up");
        }
    }
}

fn gone() -> io::Error {
    io::ErrorKind::BrokenPipe.into()
}
