//! Errors when the replicas of a host are started.

use {
    crate::settings::Problem,
    quay_log::LogError,
    std::{fmt, io, path::PathBuf},
};

/// Why a replica could not be started.
#[derive(Debug)]
pub enum GroupStartError {
    /// The settings contradict each other or the data folder.
    Settings(Problem),
    /// A folder could not be opened or created, or a thread not started.
    Io(PathBuf, io::Error),
    /// A file in the data folder could not be read or written.
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
