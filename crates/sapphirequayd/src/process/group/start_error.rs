//! Ways in which the replicas of a host can fail to start.

use {
    crate::settings::Problem,
    quay_log::LogError,
    std::{fmt, io, path::PathBuf},
};

/// Why replicas could not start.
#[derive(Debug)]
pub enum GroupStartError {
    /// The settings don't fit each other or the data folder.
    Settings(Problem),
    /// A folder or a thread can't be had.
    Io(PathBuf, io::Error),
    /// The log of a folder can't be used.
    Log(PathBuf, LogError),
}

impl fmt::Display for GroupStartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(problem) => write!(f, "{problem}"),
            Self::Io(path, err) => write!(f, "{}: {err}", path.display()),
            Self::Log(path, err) => write!(f, "{}: {err}", path.display()),
        }
    }
}

impl std::error::Error for GroupStartError {}
