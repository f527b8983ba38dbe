//! Ways in which a link can fail.

use std::{fmt, io};

/// Why a link could not be set up or used.
#[derive(Debug)]
pub enum LinkError {
    /// A file or socket could not be used.
    Io(io::Error),
    /// A key or certificate is unusable; says which and why.
    Keys(Box<str>),
    /// The connection was not established; nothing was sent on it.
    Connect(Box<str>),
    /// The stream broke after it was opened.
    Broken(Box<str>),
    /// The peer finished the stream.
    Finished,
    /// Nothing arrived within the silence limit.
    Silent,
    /// A frame is larger than the limit.
    TooLarge {
        /// Size that the peer named, in bytes.
        bytes: usize,
    },
    /// A frame does not decode as the type that was expected.
    Decode(postcard::Error),
    /// The link thread has stopped.
    Stopped,
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(err) => write!(f, "link i/o: {err}"),
            Self::Keys(text) => write!(f, "link keys: {text}"),
            Self::Connect(text) => write!(f, "link not connected: {text}"),
            Self::Broken(text) => write!(f, "link broken: {text}"),
            Self::Finished => f.write_str("link stream finished"),
            Self::Silent => f.write_str("link silent"),
            Self::TooLarge { bytes } => write!(f, "frame of {bytes} bytes is over the limit"),
            Self::Decode(err) => write!(f, "frame does not decode: {err}"),
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
