//! Segmented durable log with checksums and snapshots.
//!
//! Records that are appended together form one frame: one write, one sync, one
//! checksum. Nothing is reported as saved before its sync. After a crash only
//! the last frame can be incomplete, and it is cut; damage before it is an
//! error, because what follows it was reported as saved.
//!
//! ```
//! use quay_log::{DiskFolder, Log, LogSettings, Record};
//! use quay_types::{Epoch, LogIndex};
//!
//! let dir = tempfile::tempdir().expect("folder");
//! let folder = DiskFolder::create(dir.path()).expect("folder");
//! let entry = Record::Entry { index: LogIndex(1), term: Epoch(1), body: [7].into() };
//! let (mut log, _) = Log::open(folder.clone(), LogSettings::default()).expect("log");
//! log.append(&[entry]).expect("saved");
//! drop(log);
//!
//! let (_, recovered) = Log::open(folder, LogSettings::default()).expect("log");
//! assert_eq!(recovered.entries.len(), 1);
//! ```

mod atomic_file;
mod disk_full;
mod error;
mod folder;
mod frame;
mod inspect;
mod log;
mod record;
mod replay;
mod segment;
mod snapshot;

pub use {
    atomic_file::{TEMP_SUFFIX, read_checked, write_atomic},
    disk_full::retry_while_full,
    error::LogError,
    folder::{DiskFile, DiskFolder, Folder, LogFile},
    inspect::{FileReport, inspect},
    log::{Log, LogSettings, Recovered, TornTail},
    record::{HardState, LogEntry, Record},
    replay::{Replay, ReplayError},
    snapshot::{Snapshot, read_newest_snapshot, save_snapshot},
};
