//! Stream of frames with blocking and asynchronous methods.

use {
    crate::{Encoded, Frame, FramePermit, LinkError, stop::HeldServing},
    bytes::Bytes,
    serde::{Serialize, de::DeserializeOwned},
    tokio::sync::{mpsc, oneshot},
};

/// Capacity in frames of each channel between the network tasks and the user of a
/// stream.
pub(crate) const CHANNEL_FRAMES: usize = 32;

/// One request and its replies.
///
/// Dropping the stream signals the peer to cancel the request.
#[derive(Debug)]
pub struct LinkStream {
    /// Told of the reply of a call, whose request is discarded without one. Dropped before
    /// `tx`, so that the request of a call that is given up doesn't count as sent.
    pub(crate) answered: Option<oneshot::Sender<()>>,
    /// Takes frames in chunks.
    pub(crate) tx: mpsc::Sender<Vec<Bytes>>,
    pub(crate) rx: mpsc::Receiver<Result<Frame, LinkError>>,
    /// Held by a stream of a peer for as long as the stop of the endpoint waits for it.
    pub(crate) serving: HeldServing,
    /// Memory of a peer's long request, until it is answered.
    pub(crate) _memory: Option<FramePermit>,
}

impl LinkStream {
    /// Has [`Links::stop`](crate::Links::stop) not wait for this stream, which its peer
    /// keeps open and expects no reply on.
    pub fn keep_open(&self) {
        self.serving.release();
    }

    /// Sends one value; blocks while the send channel is full because the
    /// peer reads too slowly.
    ///
    /// # Errors
    ///
    /// [`LinkError::TooLarge`] before anything is sent; [`LinkError::Broken`]
    /// if the stream has ended.
    pub fn send(&self, value: &impl Serialize) -> Result<(), LinkError> {
        self.send_returning_size(value).map(drop)
    }

    /// Sends one value as [`LinkStream::send`] does. Returns the size of its frame
    /// in bytes, with the length prefix.
    ///
    /// # Errors
    ///
    /// As [`LinkStream::send`].
    pub fn send_returning_size(&self, value: &impl Serialize) -> Result<usize, LinkError> {
        let frame = Encoded::of(value)?.into_frame()?;
        let bytes = frame.iter().map(Bytes::len).sum();
        self.tx
            .blocking_send(frame)
            .map_err(|_| LinkError::Broken("stream closed".into()))?;
        Ok(bytes)
    }

    /// Asynchronous version of [`LinkStream::send`].
    ///
    /// # Errors
    ///
    /// As [`LinkStream::send`].
    pub async fn send_async(&self, value: &impl Serialize) -> Result<(), LinkError> {
        let frame = Encoded::of(value)?.into_frame()?;
        let sent = self.tx.send(frame).await;
        sent.map_err(|_| LinkError::Broken("stream closed".into()))
    }

    /// Asynchronous version of [`LinkStream::recv`].
    ///
    /// # Errors
    ///
    /// As [`LinkStream::recv`].
    pub async fn recv_async<T: DeserializeOwned>(&mut self) -> Result<T, LinkError> {
        let frame = self.rx.recv().await.ok_or(LinkError::Finished)??;
        if let Some(answered) = self.answered.take() {
            let _ = answered.send(());
        }
        frame.decode()
    }

    /// Receives one value; blocks until a frame arrives.
    ///
    /// # Errors
    ///
    /// [`LinkError::Silent`] if no frame arrived within the receive timeout,
    /// [`LinkError::Finished`] at the end of the stream, [`LinkError::Broken`]
    /// if the stream failed, [`LinkError::Decode`] if the frame is not a valid
    /// `T`.
    pub fn recv<T: DeserializeOwned>(&mut self) -> Result<T, LinkError> {
        match self.rx.blocking_recv() {
            Some(frame) => frame?.decode(),
            None => Err(LinkError::Finished),
        }
    }
}
