//! Errors of links.

use std::{fmt, io};

/// Error while setting up or using a link.
#[derive(Debug)]
pub enum LinkError {
    /// I/O error on a file or socket.
    Io(io::Error),
    /// A key, certificate or setting is invalid; the text names it and the
    /// reason.
    Keys(Box<str>),
    /// The connection or stream could not be opened; nothing was sent.
    Connect(Box<str>),
    /// The stream failed after it was opened.
    Broken(Box<str>),
    /// The peer closed the stream cleanly.
    Finished,
    /// No frame arrived within [`LinkSettings::receive_timeout`].
    ///
    /// [`LinkSettings::receive_timeout`]: crate::LinkSettings::receive_timeout
    Silent,
    /// A frame exceeds [`MAX_FRAME_BYTES`](crate::MAX_FRAME_BYTES).
    TooLarge {
        /// Size of the frame's body in bytes.
        bytes: usize,
    },
    /// A value could not be encoded, or a frame could not be decoded as the
    /// expected type.
    Decode(postcard::Error),
    /// The link thread has stopped.
    Stopped,
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(err) => write!(f, "link I/O error: {err}"),
            Self::Keys(text) => write!(f, "link keys: {text}"),
            Self::Connect(text) => write!(f, "link connection failed: {text}"),
            Self::Broken(text) => write!(f, "link stream broken: {text}"),
            Self::Finished => f.write_str("link stream closed by the peer"),
            Self::Silent => f.write_str("no frame arrived within the link's receive timeout"),
            Self::TooLarge { bytes } => write!(f, "link frame of {bytes} bytes exceeds the limit"),
            Self::Decode(err) => write!(f, "link frame could not be encoded or decoded: {err}"),
            Self::Stopped => f.write_str("link thread stopped"),
        }
    }
}

impl std::error::Error for LinkError {}

impl From<io::Error> for LinkError {
    fn from(err: io::Error) -> Self {
        Self::Io(err)
    }
}
