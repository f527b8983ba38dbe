//! A stream of frames, used from threads that may block.

use {
    crate::{Frame, LinkError, frame},
    serde::{Serialize, de::DeserializeOwned},
    tokio::sync::mpsc,
};

/// Frames that may wait between the network and the thread that uses a stream.
pub(crate) const WINDOW_FRAMES: usize = 32;

/// One request and its answers.
///
/// Dropping the stream cancels the request at the peer.
#[derive(Debug)]
pub struct LinkStream {
    pub(crate) tx: mpsc::Sender<Vec<u8>>,
    pub(crate) rx: mpsc::Receiver<Result<Frame, LinkError>>,
}

impl LinkStream {
    /// Sends one value; blocks while the peer's window is full.
    ///
    /// # Errors
    ///
    /// [`LinkError::TooLarge`] before anything is sent; [`LinkError::Broken`]
    /// if the stream has ended.
    pub fn send(&self, value: &impl Serialize) -> Result<(), LinkError> {
        self.send_returning_size(value).map(drop)
    }

    /// Sends one value as [`LinkStream::send`] does and tells the bytes of its
    /// frame.
    ///
    /// # Errors
    ///
    /// As [`LinkStream::send`].
    pub fn send_returning_size(&self, value: &impl Serialize) -> Result<usize, LinkError> {
        let buf = frame::encode(value)?;
        let bytes = buf.len();
        self.tx
            .blocking_send(buf)
            .map_err(|_| LinkError::Broken("stream ended".into()))?;
        Ok(bytes)
    }

    /// Sends one value from a task; waits while the peer's window is full.
    ///
    /// # Errors
    ///
    /// As [`LinkStream::send`].
    pub async fn send_async(&self, value: &impl Serialize) -> Result<(), LinkError> {
        let buf = frame::encode(value)?;
        let sent = self.tx.send(buf).await;
        sent.map_err(|_| LinkError::Broken("stream ended".into()))
    }

    /// Receives one value in a task.
    ///
    /// # Errors
    ///
    /// As [`LinkStream::recv`].
    pub async fn recv_async<T: DeserializeOwned>(&mut self) -> Result<T, LinkError> {
        match self.rx.recv().await {
            Some(frame) => frame?.decode(),
            None => Err(LinkError::Finished),
        }
    }

    /// Receives one value.
    ///
    /// # Errors
    ///
    /// [`LinkError::Silent`] after the silence limit, [`LinkError::Finished`]
    /// at the end, [`LinkError::Decode`] on bytes that are no `T`.
    pub fn recv<T: DeserializeOwned>(&mut self) -> Result<T, LinkError> {
        match self.rx.blocking_recv() {
            Some(frame) => frame?.decode(),
            None => Err(LinkError::Finished),
        }
    }
}
