//! Errors of the log.

use std::{fmt, io};

/// Error of a log operation.
#[derive(Debug)]
pub enum LogError {
    /// A file operation failed. The log accepts no further records.
    Io {
        /// Name of the file, or `folder` for an operation on the folder.
        file: Box<str>,
        /// The underlying error.
        err: io::Error,
    },
    /// Acknowledged data is corrupt.
    Corrupt {
        /// Name of the file.
        file: Box<str>,
        /// Byte offset in the file.
        offset: u64,
        /// Description of the corruption.
        reason: Box<str>,
    },
    /// An earlier write or sync failed, so the content of the disk is unknown.
    Stopped,
    /// A value could not be encoded.
    Encode(postcard::Error),
    /// The records exceed the maximum payload of a frame; the size in bytes.
    TooLarge(usize),
}

impl LogError {
    /// Returns a function that adds the file name to an [`io::Error`].
    pub(crate) fn io(file: &str) -> impl FnOnce(io::Error) -> Self {
        let file = file.into();
        move |err| Self::Io { file, err }
    }
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io { file, err } => write!(f, "{file}: {err}"),
            Self::Corrupt {
                file,
                offset,
                reason,
            } => {
                write!(f, "{file}: corrupt at offset {offset}: {reason}")
            }
            Self::Stopped => f.write_str("the log accepts no records after a failed write or sync"),
            Self::Encode(err) => write!(f, "encoding failed: {err}"),
            Self::TooLarge(bytes) => {
                write!(f, "{bytes} bytes of records exceed the frame size limit")
            }
        }
    }
}

impl std::error::Error for LogError {}
