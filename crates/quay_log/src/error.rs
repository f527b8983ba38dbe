//! Ways in which a log can fail.

use std::{fmt, io};

/// Why a log can't be opened or has stopped.
#[derive(Debug)]
pub enum LogError {
    /// An operation on a file failed. The log takes nothing more.
    Io {
        /// The file, or what was done to the folder.
        file: Box<str>,
        /// The error.
        err: io::Error,
    },
    /// Bytes that were reported as saved are damaged.
    Corrupt {
        /// The file.
        file: Box<str>,
        /// Where in the file.
        offset: u64,
        /// What is wrong there.
        reason: Box<str>,
    },
    /// An earlier write or sync failed; what is on the disk is unknown.
    Stopped,
    /// A value has no encoding.
    Encode(postcard::Error),
    /// Records are too large for one frame.
    TooLarge(usize),
}

impl LogError {
    /// Names the file of an [`io::Error`].
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
                write!(f, "{file}: damaged at offset {offset}: {reason}")
            }
            Self::Stopped => f.write_str("the log has stopped after a failed write or sync"),
            Self::Encode(err) => write!(f, "record does not encode: {err}"),
            Self::TooLarge(bytes) => write!(f, "records of {bytes} bytes are over the limit"),
        }
    }
}

impl std::error::Error for LogError {}
